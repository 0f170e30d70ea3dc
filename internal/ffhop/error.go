package ffhop

import "fmt"

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// Kind classifies a failure by how much of the request was sent.
type Kind int

// Kinds of failure.
const (
	KindUnknown Kind = iota // unknown
	KindDial                // dial
	KindUnsent              // unsent
	KindUnacked             // unacknowledged
	KindBroken              // broken
)

// Error is a failed exchange.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("ffhop: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
