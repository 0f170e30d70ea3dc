package ffscrape

import "fmt"

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// Kind is the kind of a failure.
type Kind int

// Kinds of failure.
const (
	KindUnknown     Kind = iota // unknown
	KindUnreachable             // unreachable
	KindFormat                  // format
)

// Error is a failure to read metrics.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("ffscrape: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
