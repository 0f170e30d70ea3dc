package ffmeshsoak

import "fmt"

//go:generate stringer -type=Kind,Fault,Promise -linecomment -output=enum_string.go

// Kind is the kind of failure that an Error reports.
type Kind int

// Failure kinds.
const (
	KindUnknown   Kind = iota // unknown
	KindStart                 // start
	KindFault                 // fault
	KindCancelled             // ended early
)

// Error reports that a soak could not be run.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("ffmeshsoak: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
