package ffpipeline

import "fmt"

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// Kind classifies an Error.
type Kind int

// Kinds of failure.
const (
	KindUnknown   Kind = iota // unknown
	KindMalformed             // malformed request
	KindTooLarge              // head too large
	KindVersion               // version not supported
	KindExpect                // expectation not met
	KindLength                // wrong length of an answer
	KindClosed                // connection closed
	KindTooLong               // answer too long
)

// Error is a failure of a connection or of one of its requests.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("ffpipeline: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
