package ffcommand

import "fmt"

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// Kind classifies an Error.
type Kind int

// Kinds of errors.
const (
	KindUnknown Kind = iota // unknown
	KindUsage               // usage
	KindFault               // fault
	KindFailed              // failed
	KindInvalid             // invalid
)

// Error is the failure of a command.
type Error struct {
	// Op is the name of the command.
	Op   string
	Kind Kind
	Err  error
}

// Error returns the name of the command and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
