package ffdaemon

import "fmt"

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// Kind classifies an Error.
type Kind int

// Kinds of failure.
const (
	KindUnknown  Kind = iota // unknown
	KindSettings             // settings
	KindListen               // listen
	KindServe                // serve
)

// Error is a failure to start or run a daemon.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("ffdaemon: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
