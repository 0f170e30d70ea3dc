// Package ffplatform is a client of the platform, which provides a daemon with
// its configuration and the list of VMs.
package ffplatform

import (
	"errors"
	"fmt"
)

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// Kind classifies the failure of a request to the platform.
type Kind int

// Kinds of failure.
const (
	KindUnknown     Kind = iota // unknown
	KindUnavailable             // unavailable
	KindRateLimited             // rateLimited
	KindNotFound                // notFound
	KindTooLarge                // tooLarge
	KindMalformed               // malformed
	KindMismatch                // mismatch
)

// Error is a failed request to the platform.
type Error struct {
	Op   string
	Kind Kind
	// Key is the key of the requested value, or "vms" for the list of VMs.
	Key string
	Err error
}

// Error returns the operation, the kind, the key and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("ffplatform: %s: %s: %q: %v", e.Op, e.Kind, e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of the *Error in err's chain, or KindUnknown if there is none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindUnknown
}
