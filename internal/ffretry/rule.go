package ffretry

import (
	"errors"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
)

// askOutcome decides on a call that may have run and must not run twice.
func askOutcome(kind ffcall.Kind, now time.Time) Decision {
	switch kind {
	case ffcall.KindUnreachable, ffcall.KindSilent, ffcall.KindTruncated, ffcall.KindCrossed:
		return Decision{Action: ActionAskOutcome, Reason: ReasonOutcome, At: now}
	default:
		return Decision{Reason: ReasonOutcome}
	}
}

// refuses returns the reason why no further attempt helps, or none.
func refuses(kind ffcall.Kind, attempt int) Reason {
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

// moves reports whether a VM that takes no call refused it. Another attempt adds
// no load, and a VM that comes or goes must not cost a customer its call.
func moves(outcome ffcall.Outcome, kind ffcall.Kind) bool {
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

// elsewhere reports whether the same target would fail again. A target whose
// daemon lacks the version may have it at the next attempt, and one that an
// attempt never reached over a dead connection is reached over a new one.
func elsewhere(err error, kind ffcall.Kind) bool {
	neverCame := kind == ffcall.KindSilent && ffcall.OutcomeOf(err) == ffcall.OutcomeNotRun
	return kind != ffcall.KindVersion && !neverCame
}

// notBefore returns the start of the next attempt. Another target need not wait
// for the one that refused; the same target is given the time that it asks for.
func (p *Policy) notBefore(err error, kind ffcall.Kind, attempt int, now time.Time) time.Time {
	at := now.Add(fullJitter(attempt, p.draw))
	var e *ffcall.Error
	if !elsewhere(err, kind) && errors.As(err, &e) && e.RetryAt.After(at) {
		return e.RetryAt
	}
	return at
}

func (p *Policy) draw() float64 {
	if p.Draw == nil {
		return 0
	}
	return p.Draw()
}
