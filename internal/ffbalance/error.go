package ffbalance

import "fmt"

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// Kind is the reason why no target was chosen.
type Kind int

// Reasons why no target was chosen.
const (
	KindUnknown  Kind = iota // unknown
	KindNoTarget             // noTarget
)

// Error is the error of Choose.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("ffbalance: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
