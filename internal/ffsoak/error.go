package ffsoak

import "fmt"

//go:generate stringer -type=ErrorKind,Promise,Verdict,FaultKind,ChangeKind -linecomment -output=enum_string.go

// ErrorKind classifies an Error.
type ErrorKind int

// Kinds of failure.
const (
	ErrorUnknown  ErrorKind = iota // unknown
	ErrorUsage                     // usage
	ErrorFile                      // file
	ErrorFault                     // fault
	ErrorEvidence                  // evidence
	ErrorLost                      // lost
)

// Error is a failure of a soak.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("ffsoak: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
