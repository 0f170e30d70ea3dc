package ffhead

import "fmt"

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// Kind classifies an Error by the part of the head that is not valid.
type Kind int

// Kinds of errors.
const (
	KindUnknown Kind = iota // unknown
	KindStatus              // status
	KindName                // name
	KindValue               // value
)

// Error describes a head that is not valid.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("ffhead: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
