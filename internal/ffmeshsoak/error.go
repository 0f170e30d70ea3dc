package ffmeshsoak

import "fmt"

//go:generate stringer -type=Kind,Fault,Promise -linecomment -output=enum_string.go

// Kind tells what sort of failure an Error reports.
type Kind int

// Kinds of failure.
const (
	KindUnknown Kind = iota // unknown
	KindStart               // start
	KindFault               // fault
	KindEnded               // ended early
)

// Error is a failure to run a soak.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("ffmeshsoak: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
