package ffpace

import "time"

// schedule spreads calls evenly over time. It is immutable, and the zero value is for no
// calls at all.
type schedule struct {
	// rate is the number of calls per second.
	rate float64
	// dueAt is when the next call is due. Calls may be sent up to burst before they are due.
	dueAt time.Time
	burst time.Duration
}

// startingAt returns s with nothing to make up for at now: a predecessor may have just used
// it.
func (s schedule) startingAt(now time.Time) schedule {
	s.dueAt = now.Add(s.burst)
	return s
}

// withCall returns s after a call was sent at now.
func (s schedule) withCall(now time.Time) schedule {
	s.dueAt = s.due(now).Add(s.interval(1))
	return s
}

// nextAt returns when a call may be sent that has a number of others ahead of it.
func (s schedule) nextAt(ahead int, now time.Time) time.Time {
	at := s.due(now).Add(s.interval(ahead) - s.burst)
	if at.Before(now) {
		return now
	}
	return at
}

// due returns when the next call is due, not before now.
func (s schedule) due(now time.Time) time.Time {
	if s.dueAt.Before(now) {
		return now
	}
	return s.dueAt
}

// interval returns the time in which a number of calls are due.
func (s schedule) interval(calls int) time.Duration {
	return time.Duration(float64(calls) / s.rate * float64(time.Second))
}
