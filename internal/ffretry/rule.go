package ffretry

import (
	"errors"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
)

// askOutcome decides on a call that may have run and must not run twice.
func askOutcome(kind ffcall.Kind, now time.Time) Decision {
	switch kind {
	case ffcall.KindUnreachable, ffcall.KindNoResponse, ffcall.KindTruncated, ffcall.KindMismatched:
		return Decision{Action: ActionAskOutcome, Reason: ReasonOutcome, NotBefore: now}
	default:
		return Decision{Reason: ReasonOutcome}
	}
}

// stopReason returns why no further attempt is made, or ReasonNone.
func stopReason(kind ffcall.Kind, attempt int) Reason {
	switch kind {
	case ffcall.KindUnauthenticated, ffcall.KindForbidden, ffcall.KindNoRoute,
		ffcall.KindTooLarge, ffcall.KindLimit, ffcall.KindDeadline,
		ffcall.KindToken, ffcall.KindCancelled:
		return ReasonRefusal
	case ffcall.KindOverload:
		if attempt >= maxOverloadAttempts {
			return ReasonAttempts
		}
	}
	if attempt >= maxAttempts {
		return ReasonAttempts
	}
	return ReasonNone
}

// isFreeRetry reports whether a retry is not charged to the retry budget: the
// call did not run because its VM was starting, leaving or unreachable, or lacked
// the configuration version. The retry adds no load, and a VM that starts or
// stops must not make calls fail.
func isFreeRetry(outcome ffcall.Outcome, kind ffcall.Kind) bool {
	if outcome != ffcall.OutcomeNotRun {
		return false
	}
	switch kind {
	case ffcall.KindLeaving, ffcall.KindNotReady, ffcall.KindUnreachable, ffcall.KindVersion:
		return true
	default:
		return false
	}
}

// needsOtherTarget reports whether the same target would fail again. It would
// not if its daemon lacked the version, which may arrive before the next
// attempt, or if the attempt was lost on a dead connection, since the next
// attempt uses a new one.
func needsOtherTarget(err error, kind ffcall.Kind) bool {
	notReceived := kind == ffcall.KindNoResponse && ffcall.OutcomeOf(err) == ffcall.OutcomeNotRun
	return kind != ffcall.KindVersion && !notReceived
}

// earliestStart returns the earliest start of the next attempt. A retry at the
// same target waits until the RetryAt of err, which does not concern other targets.
func (p *Policy) earliestStart(err error, kind ffcall.Kind, attempt int, now time.Time) time.Time {
	at := now.Add(fullJitter(attempt, p.random))
	var e *ffcall.Error
	if !needsOtherTarget(err, kind) && errors.As(err, &e) && e.RetryAt.After(at) {
		return e.RetryAt
	}
	return at
}

func (p *Policy) random() float64 {
	if p.Rand == nil {
		return 0
	}
	return p.Rand()
}
