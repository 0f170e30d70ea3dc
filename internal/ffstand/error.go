package ffstand

import "fmt"

//go:generate stringer -type=Kind,FaultKind,CrashKind -linecomment -output=enum_string.go

// Kind classifies an Error.
type Kind int

// Kinds of error.
const (
	KindUnknown  Kind = iota // unknown
	KindTooLarge             // tooLarge
	KindInvalid              // invalid
	KindNotFound             // notFound
	KindInput                // input
	KindControl              // control
)

// Error reports which operation failed, and why.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("ffstand: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
