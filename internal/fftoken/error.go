package fftoken

import "fmt"

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// Kind classifies an Error.
type Kind int

// Kinds of errors. KindRandom is a failure of the random source; the others are
// reasons why a token is not accepted.
const (
	KindUnknown   Kind = iota // unknown
	KindMalformed             // malformed
	KindOtherGate             // otherGate
	KindForged                // forged
	KindMismatch              // mismatch
	KindExpired               // expired
	KindRandom                // random
)

// Error reports why a token was not accepted or could not be minted.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("fftoken: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
