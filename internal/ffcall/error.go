package ffcall

import (
	"errors"
	"fmt"
	"time"
)

//go:generate stringer -type=Outcome,Kind -linecomment -output=enum_string.go

// Outcome states whether a call ran at its target.
type Outcome int

// Outcomes of a call.
const (
	OutcomeUnknown Outcome = iota // unknown
	OutcomeRan                    // ran
	OutcomeNotRun                 // notRun
)

// Kind is the reason why a call got no reply from its target.
type Kind int

// Kinds of errors.
const (
	KindUnknown         Kind = iota // unknown
	KindUnauthenticated             // unauthenticated
	KindForbidden                   // forbidden
	KindNoRoute                     // noRoute
	KindTooLarge                    // tooLarge
	KindLimit                       // limit
	KindOverload                    // overload
	KindDeadline                    // deadline
	KindLeaving                     // leaving
	KindNotReady                    // notReady
	KindUnreachable                 // unreachable
	// KindNoResponse marks an attempt without a response that the gate did not
	// receive, or whose outcome could not be looked up.
	KindNoResponse // silent
	// KindTruncated marks an incomplete or corrupted message.
	KindTruncated // truncated
	// KindMismatched marks a response to another call, or a call ID that was used
	// for another request.
	KindMismatched // crossed
	// KindToken marks a missing or unusable token.
	KindToken // token
	// KindVersion marks a call that the daemon's configuration version does not
	// allow, or for which it has another route.
	KindVersion   // version
	KindCancelled // cancelled
	KindMalformed // malformed
)

// Error states why a call got no reply and whether it ran.
type Error struct {
	Op      string
	Kind    Kind
	Outcome Outcome
	// RetryAt is the earliest useful time for a new attempt; zero if unknown.
	RetryAt time.Time
	// Load is set if the target's daemon refused the call.
	Load Load
	Err  error
}

// Error returns the operation, the kind, the outcome and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("ffcall: %s: %s (%s): %v", e.Op, e.Kind, e.Outcome, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// MarshalText returns the name of o.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// MarshalText returns the name of k.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// Refuse returns an error with OutcomeNotRun, for a call that provably did not run.
func Refuse(op string, kind Kind, err error) *Error {
	return &Error{Op: op, Kind: kind, Outcome: OutcomeNotRun, Err: err}
}

// WithOutcomeUnknown returns a copy of err with OutcomeUnknown, for a call that may have run
// in an earlier attempt. Errors other than *Error are returned unchanged.
func WithOutcomeUnknown(err error) error {
	var e *Error
	if !errors.As(err, &e) {
		return err
	}
	unproved := *e
	unproved.Outcome = OutcomeUnknown
	return &unproved
}

// OutcomeOf returns the outcome in err, or OutcomeUnknown if err is not an *Error.
func OutcomeOf(err error) Outcome {
	var e *Error
	if errors.As(err, &e) {
		return e.Outcome
	}
	return OutcomeUnknown
}

// KindOf returns the kind of err, or KindUnknown if err is not an *Error.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindUnknown
}
