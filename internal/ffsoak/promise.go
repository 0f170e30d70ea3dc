package ffsoak

// Promise is a guarantee of the system that a soak checks.
type Promise int

// Promises, in the order of the brief.
const (
	PromiseNeverOlder     Promise = iota // neverOlder
	PromiseNoLackingRoute                // noLackingRoute
	PromiseNeverInPart                   // neverInPart
	PromiseWholeAnswer                   // wholeAnswer
	PromiseNotRun                        // notRun
	PromiseAtMostOnce                    // atMostOnce
	PromiseLeaving                       // leaving
	PromiseGracefulStop                  // gracefulStop
	PromiseConvergence                   // convergence
)

// MarshalText returns the name of p.
func (p Promise) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// Verdict is the result of the check of a promise.
type Verdict int

// Verdicts. The zero value means that the check could not have failed.
const (
	VerdictNotExercised Verdict = iota // notExercised
	VerdictHeld                        // held
	VerdictBroken                      // broken
)

// MarshalText returns the name of v.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// Finding is the result of one check.
type Finding struct {
	Promise Promise
	Verdict Verdict
	// Count is the number of violations.
	Count int
	// Trace is the shortest evidence of the first violation, line by line.
	Trace []string
}

// violated records a violation; only the shortest trace is kept.
func (f *Finding) violated(trace ...string) {
	f.Count++
	f.Verdict = VerdictBroken
	if f.Trace == nil || len(trace) < len(f.Trace) {
		f.Trace = trace
	}
}

// exercised records whether the check could have failed.
func (f *Finding) exercised(had bool) {
	if had && f.Verdict == VerdictNotExercised {
		f.Verdict = VerdictHeld
	}
}
