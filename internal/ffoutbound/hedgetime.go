package ffoutbound

import "time"

const (
	// hedgeTypicalFactor is the multiple of the typical service time after which a call
	// counts as slow, minHedgeTypicalFactor the least one, for calls that would miss
	// their objective.
	hedgeTypicalFactor    = 3
	minHedgeTypicalFactor = 1.5
	// hedgeObjectiveFraction is the fraction of the objective before which no call
	// counts as slow.
	hedgeObjectiveFraction = 0.4
	// maxHedgeBusy is the largest share of a target's slots in use for which it gets a
	// hedge of a slow call: in a crowd a hedge takes the slot of another call.
	maxHedgeBusy = 0.7
	// hedgeRetryInterval is the time between two attempts to find a free target for a
	// hedge.
	hedgeRetryInterval = 50 * time.Millisecond
)

// Slowness is what decides when a call counts as slow.
type Slowness struct {
	// StartedAt is when the call was sent, and Typical the usual time of one.
	StartedAt time.Time
	Typical   time.Duration
	// ObjectiveAt is when the answer should come, Objective after the request.
	ObjectiveAt time.Time
	Objective   time.Duration
	// SlowFrom is the time that only the slowest answers exceed; 0 if it is not known.
	SlowFrom time.Duration
}

// HedgeAt returns when a call counts as slow, so that a second target is asked beside the
// first: after the time that only the slowest exceed or, while that is not known, after a
// multiple of the typical time, but while the second can still answer by
// the objective. It is for services of which a few calls take many times the typical
// time, on targets of differing speed.
func (s Slowness) HedgeAt() time.Time {
	least := max(hedgeObjectiveFraction*float64(s.Objective), minHedgeTypicalFactor*float64(s.Typical))
	earliest := s.StartedAt.Add(time.Duration(least))
	at := s.StartedAt.Add(hedgeTypicalFactor * s.Typical)
	if s.SlowFrom > 0 {
		at = s.StartedAt.Add(s.SlowFrom)
	}
	if latest := s.ObjectiveAt.Add(-s.Typical); latest.Before(at) {
		at = latest
	}
	if at.Before(earliest) {
		return earliest
	}
	return at
}
