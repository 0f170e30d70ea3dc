package ffconfig

import "fmt"

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// Kind tells what sort of fault an Error reports.
type Kind int

// Kinds of fault in a configuration.
const (
	KindUnknown   Kind = iota // unknown
	KindMalformed             // malformed
	KindMissing               // missing
	KindMismatch              // mismatch
	KindTooLarge              // tooLarge
	KindInvalid               // invalid
	KindReference             // reference
)

// Error is a fault in a configuration, with the operation that found it.
type Error struct {
	Op    string
	Kind  Kind
	Piece string
	Field string
	Err   error
}

// Error returns the operation, the kind, the piece and field at fault, and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("ffconfig: %s: %s: piece %q field %q: %v", e.Op, e.Kind, e.Piece, e.Field, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
