package ffexperiment

import "fmt"

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// Kind classifies an Error.
type Kind int

// Kinds of failure.
const (
	KindUnknown           Kind = iota // unknown
	KindUnknownExperiment             // name
	KindFile                          // file
	KindRun                           // run
)

// Error is a failure of an experiment.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("ffexperiment: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
