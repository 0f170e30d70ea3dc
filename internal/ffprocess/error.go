// Package ffprocess starts, freezes, resumes and stops processes for test programs
// and load programs. Daemons do not use it.
package ffprocess

import "fmt"

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// Kind is the kind of failure that an Error reports.
type Kind int

// Failure kinds.
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

// Error reports a failed operation on a process.
type Error struct {
	Op   string
	Kind Kind
	// Process is the name of the process.
	Process string
	Err     error
}

// Error returns the operation, the kind, the process and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("ffprocess: %s: %s: %q: %v", e.Op, e.Kind, e.Process, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
