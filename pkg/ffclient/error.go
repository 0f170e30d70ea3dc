package ffclient

import "fmt"

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// Kind is the kind of failure of an Error.
type Kind int

// Kinds of failure.
const (
	KindUnknown   Kind = iota // unknown
	KindRequest               // request
	KindTransport             // transport
	KindRefused               // refused
)

// Error describes a call without an answer.
type Error struct {
	Op   string
	Kind Kind
	// Outcome reports whether the call ran.
	Outcome Outcome
	Err     error
}

// Error returns the operation, the kind, the outcome and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("ffclient: %s: %s (%s): %v", e.Op, e.Kind, e.Outcome, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
