package ffcall

import (
	"errors"
	"fmt"
	"time"
)

//go:generate stringer -type=Outcome,Kind -linecomment -output=enum_string.go

// Outcome tells whether a call ran at its target.
type Outcome int

// Outcomes of a call.
const (
	OutcomeUnknown Outcome = iota // unknown
	OutcomeRan                    // ran
	OutcomeNotRun                 // notRun
)

// Kind tells why a call got no answer from its target.
type Kind int

// Reasons why a call got no answer.
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
	KindSilent                      // silent
	KindTruncated                   // truncated
	KindCrossed                     // crossed
	KindToken                       // token
	KindVersion                     // version
	KindCancelled                   // cancelled
	KindMalformed                   // malformed
)

// Error tells why a call got no answer and whether it ran.
type Error struct {
	Op      string
	Kind    Kind
	Outcome Outcome
	// RetryAt is the time from which a new attempt makes sense; zero when unknown.
	RetryAt time.Time
	// Load is set when the daemon beside the target refused.
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

// Refuse returns an error for a call that provably did not run.
func Refuse(op string, kind Kind, err error) *Error {
	return &Error{Op: op, Kind: kind, Outcome: OutcomeNotRun, Err: err}
}

// Unproved returns err with an unknown outcome, for a call of which an earlier
// attempt may have run.
func Unproved(err error) error {
	var e *Error
	if !errors.As(err, &e) {
		return err
	}
	whole := *e
	whole.Outcome = OutcomeUnknown
	return &whole
}

// OutcomeOf returns the outcome that err carries; unknown when it carries none.
func OutcomeOf(err error) Outcome {
	var e *Error
	if errors.As(err, &e) {
		return e.Outcome
	}
	return OutcomeUnknown
}

// KindOf returns the kind that err carries; unknown when it carries none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindUnknown
}
