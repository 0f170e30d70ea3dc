package ffpace

import "time"

const (
	// burstTime is the time for which unused allowance can be made up for at once.
	burstTime = 250 * time.Millisecond
	// MinRate is the least rate, in calls per second, so that a target that takes no
	// calls is still asked whether it takes some.
	MinRate = 0.5
)

// Pacer spreads the calls to one target over time. It is immutable, and the zero value
// has no limit.
type Pacer struct {
	// schedule has the limit as its rate; 0 if there is none.
	schedule schedule
	// namedAt is when the limit was last named.
	namedAt time.Time
	// answered reports whether the target itself answered a call.
	answered bool
}

// Rate returns the limit in calls per second; 0 if there is none.
func (p Pacer) Rate() float64 { return p.schedule.rate }

// WithLimit returns p after the target named a limit, in calls per second, at now.
func (p Pacer) WithLimit(limit float64, now time.Time) Pacer {
	old := p.schedule.rate
	p.namedAt, p.answered = now, true
	s := schedule{rate: max(limit, MinRate), burst: burstTime, dueAt: p.schedule.dueAt}
	switch {
	case old == 0 && s.dueAt.Before(now.Add(burstTime)):
		s = s.startingAt(now)
	case old > 0 && old < s.rate && s.dueAt.After(now):
		// The calls already sent are made up for sooner.
		s.dueAt = now.Add(time.Duration(float64(s.dueAt.Sub(now)) * old / s.rate))
	}
	p.schedule = s
	return p
}

// WithoutLimit returns p after the target answered a call, sent at sentAt, without a
// limit. Calls that were sent before the limit was last named tell nothing: their
// answers may overtake each other.
func (p Pacer) WithoutLimit(sentAt time.Time) Pacer {
	p.answered = true
	if p.Rate() > 0 && sentAt.After(p.namedAt) {
		p.schedule.rate = 0
	}
	return p
}

// WithHint returns p after another daemon said that the target named a limit. Once the
// target itself has answered, only its own answers count.
func (p Pacer) WithHint(limit float64, now time.Time) Pacer {
	if p.answered || p.Rate() > 0 || limit <= 0 {
		return p
	}
	p = p.WithLimit(limit, now)
	p.answered = false
	return p
}

// WithCall returns p after a call was sent at now.
func (p Pacer) WithCall(now time.Time) Pacer {
	if p.Rate() > 0 {
		p.schedule = p.schedule.withCall(now)
	}
	return p
}

// NextAt returns when a call may be sent that has a number of others ahead of it.
func (p Pacer) NextAt(ahead int, now time.Time) time.Time {
	if p.Rate() == 0 {
		return now
	}
	return p.schedule.nextAt(ahead, now)
}
