// Package ffprocess starts, freezes, wakes and ends processes for test programs
// and load programs. Daemons do not use it.
package ffprocess

import "fmt"

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// Kind tells what sort of failure an Error reports.
type Kind int

// Kinds of failure.
const (
	KindUnknown  Kind = iota // unknown
	KindBuild                // build
	KindAddress              // address
	KindStart                // start
	KindNotReady             // notReady
	KindSignal               // signal
	KindDeadline             // deadline
	KindExited               // exited
)

// Error tells which operation on a process failed.
type Error struct {
	Op   string
	Kind Kind
	// Process names the process.
	Process string
	Err     error
}

// Error returns the operation, the kind, the process and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("ffprocess: %s: %s: %q: %v", e.Op, e.Kind, e.Process, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
