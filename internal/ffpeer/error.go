package ffpeer

import "fmt"

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// Kind classifies an Error.
type Kind int

// Kinds of failure.
const (
	KindUnknown  Kind = iota // unknown
	KindDial                 // dial
	KindBusy                 // busy
	KindCall                 // call
	KindRegister             // register
	KindBackoff              // backoff
)

// Error is a failure in the communication with another daemon.
type Error struct {
	Op   string
	Kind Kind
	// Address is the IP address and port of the other daemon.
	Address string
	Err     error
}

// Error returns the operation, the kind, the address and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("ffpeer: %s: %s: %s: %v", e.Op, e.Kind, e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
