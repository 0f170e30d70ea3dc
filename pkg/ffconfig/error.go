package ffconfig

import "fmt"

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// Kind classifies an Error.
type Kind int

// Kinds of errors in a configuration.
const (
	KindUnknown   Kind = iota // unknown
	KindMalformed             // malformed
	KindMissing               // missing
	KindMismatch              // mismatch
	KindTooLarge              // tooLarge
	KindInvalid               // invalid
	KindReference             // reference
)

// Error reports an invalid configuration and the operation that detected it.
type Error struct {
	Op    string
	Kind  Kind
	Piece string
	Field string
	Err   error
}

// Error returns the operation, the kind, the affected piece and field, and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("ffconfig: %s: %s: piece %q field %q: %v", e.Op, e.Kind, e.Piece, e.Field, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
