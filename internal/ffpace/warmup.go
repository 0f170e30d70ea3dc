package ffpace

import "time"

// Tolerance is what the targets of a service take while they are cold. With the zero value
// they take any load.
type Tolerance struct {
	// PerSecond is the number of calls per second that a cold target takes.
	PerSecond float64
	// Ratio is the multiple of PerSecond that may be sent to it, and Slack the number of
	// calls that may come in any second besides.
	Ratio, Slack float64
	// ColdTime is how long a target is cold after its start.
	ColdTime time.Duration
}

// slackShare is the share of Slack that a gate uses. The rest is for calls that are on
// their way, or that the gate's predecessor sent, when the target turns cold.
const slackShare = 0.5

// rate returns the calls per second that a gate sends to a cold target.
func (t Tolerance) rate() float64 { return t.PerSecond * max(t.Ratio, 1) }

// burst returns the time for which unused allowance can be made up for at once.
func (t Tolerance) burst() time.Duration {
	return time.Duration(slackShare * t.Slack / t.rate() * float64(time.Second))
}

// Warmup paces the calls to a target that may be cold: after its start, or after it was
// idle for long. The gate beside it is the only one that reaches it. What the gate cannot
// know counts as cold until the target says otherwise. It is immutable, and the zero value
// paces nothing.
type Warmup struct {
	tolerance Tolerance
	schedule  schedule
	// until is when the target is warm at the latest.
	until time.Time
	// doubtedAt is when the target may have turned cold; zero once it said since how long
	// it stays so.
	doubtedAt time.Time
}

// WithTolerance returns w with another tolerance.
func (w Warmup) WithTolerance(t Tolerance) Warmup {
	w.tolerance = t
	w.schedule.rate, w.schedule.burst = 0, 0
	if t.PerSecond > 0 {
		w.schedule.rate, w.schedule.burst = t.rate(), t.burst()
	}
	return w
}

// WithDoubt returns w when the target may have turned cold at now, or shortly before.
func (w Warmup) WithDoubt(now time.Time) Warmup {
	if w.tolerance.PerSecond <= 0 {
		return w
	}
	if !w.Cold(now) {
		w.schedule = w.schedule.startingAt(now)
	}
	w.until, w.doubtedAt = now.Add(w.tolerance.ColdTime), now
	return w
}

// WithReport returns w after the target said, in an answer to a question of askedAt, that
// it stays cold until a time. An answer to a question from before the last doubt is ignored.
func (w Warmup) WithReport(askedAt, until, now time.Time) Warmup {
	if w.tolerance.PerSecond <= 0 || askedAt.Before(w.doubtedAt) {
		return w
	}
	if !w.Cold(now) && now.Before(until) {
		w.schedule = w.schedule.startingAt(now)
	}
	w.until, w.doubtedAt = until, time.Time{}
	return w
}

// Cold reports whether the target counts as cold.
func (w Warmup) Cold(now time.Time) bool { return w.schedule.rate > 0 && now.Before(w.until) }

// Doubtful reports whether the target counts as cold although it did not say so.
func (w Warmup) Doubtful(now time.Time) bool { return w.Cold(now) && !w.doubtedAt.IsZero() }

// Rate returns the calls per second that the target gets; 0 if there is no limit.
func (w Warmup) Rate(now time.Time) float64 {
	if !w.Cold(now) {
		return 0
	}
	return w.schedule.rate
}

// WithCall returns w after a call was sent at now.
func (w Warmup) WithCall(now time.Time) Warmup {
	if w.Cold(now) {
		w.schedule = w.schedule.withCall(now)
	}
	return w
}

// NextAt returns when a call may be sent that has a number of others ahead of it.
func (w Warmup) NextAt(ahead int, now time.Time) time.Time {
	if !w.Cold(now) {
		return now
	}
	at := w.schedule.nextAt(ahead, now)
	if w.until.Before(at) {
		return w.until
	}
	return at
}
