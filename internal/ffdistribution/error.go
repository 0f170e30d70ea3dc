package ffdistribution

import (
	"errors"
	"fmt"
)

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// Kind tells what sort of fault an Error reports.
type Kind int

// Kinds of fault in distribution.
const (
	KindUnknown     Kind = iota // unknown
	KindOlder                   // older
	KindRefused                 // refused
	KindMissing                 // missing
	KindCorrupt                 // corrupt
	KindUnreachable             // unreachable
	KindNotReady                // notReady
	KindTooLarge                // tooLarge
)

// Error is a fault in distribution, with the operation that found it.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("ffdistribution: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind that err carries; unknown when it carries none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindUnknown
}

var errDamaged = errors.New("the message was damaged on the way")

var errPatient = &Error{Op: "start", Kind: KindNotReady, Err: errors.New("waits for a peer that has the published version whole")}

var errListDigest = errors.New("the list does not have the digest that the peer gave")
