// Package ffplatform reads and watches the platform, from which a daemon learns
// its configuration and the list of VMs.
package ffplatform

import (
	"errors"
	"fmt"
)

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// Kind tells why a reading of the platform failed.
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

// Error tells which reading of the platform failed and why.
type Error struct {
	Op   string
	Kind Kind
	// Key names the value that was read.
	Key string
	Err error
}

// Error returns the operation, the kind, the key and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("ffplatform: %s: %s: %q: %v", e.Op, e.Kind, e.Key, e.Err)
}

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
