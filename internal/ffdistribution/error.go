package ffdistribution

import (
	"errors"
	"fmt"
)

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// Kind classifies an Error.
type Kind int

// Kinds of errors.
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

// Error is an error of this package, with the operation that failed.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("ffdistribution: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of the first Error in err's chain, or KindUnknown if there is none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindUnknown
}

var errChecksum = errors.New("message checksum mismatch")

var errWaitForPeer = &Error{Op: "start", Kind: KindNotReady, Err: errors.New("waiting for a peer that has the complete published version")}

var errListDigest = errors.New("VM list digest does not match the peer's")
