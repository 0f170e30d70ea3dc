package ffqueue

import "fmt"

//go:generate stringer -type=Kind,Decision -linecomment -output=enum_string.go

// Kind is the reason why an item was rejected.
type Kind int

// Reasons for which Push rejects an item.
const (
	KindUnknown  Kind = iota // unknown
	KindFull                 // full
	KindDeadline             // deadline
)

// Error reports why an item was rejected.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("ffqueue: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
