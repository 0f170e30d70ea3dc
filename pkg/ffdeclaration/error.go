package ffdeclaration

import "fmt"

//go:generate stringer -type=Kind,Action -linecomment -output=enum_string.go

// Kind classifies an Error.
type Kind int

// Kinds of errors.
const (
	KindUnknown Kind = iota // unknown
	KindFault               // fault
	KindRead                // read
	KindWrite               // write
	KindBundle              // bundle
	KindOrder               // order
	KindName                // name
)

// Error reports a failure to read, build, write or explain a configuration.
type Error struct {
	Op   string
	Kind Kind
	// Err is of type Faults if Kind is KindFault.
	Err error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("ffdeclaration: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
