package ffdeployment

import "fmt"

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// Kind classifies an Error.
type Kind int

// Kinds of errors.
const (
	KindUnknown  Kind = iota // unknown
	KindFile                 // file
	KindAddress              // address
	KindProcess              // process
	KindDeadline             // deadline
)

// Error is the failure of an operation on a deployment.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("ffdeployment: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
