// Package ffrelay passes TCP connections on and injects faults into them, for
// tests of what the two ends do. It is its own small relay because the module
// graph of toxiproxy cannot be resolved through the module proxy that the
// project builds with, and because a toxic of toxiproxy bears on open and new
// connections alike, so that it cannot silence only the open ones.
package ffrelay

import (
	"fmt"
	"time"
)

//go:generate stringer -type=Kind,FaultKind,Direction -linecomment -output=enum_string.go

// FaultKind tells what happens to connections.
type FaultKind int

// Kinds of fault.
const (
	// FaultNone passes everything on.
	FaultNone FaultKind = iota // none
	// FaultDelay passes bytes on later, in order.
	FaultDelay // delay
	// FaultCut resets open connections and refuses new ones.
	FaultCut // cut
	// FaultSilent swallows bytes; a connection that lost some stays silent for good.
	FaultSilent // silent
	// FaultSilentOpen makes the connections that are open now silent for good; new ones work.
	FaultSilentOpen // silentOpen
	// FaultHeld keeps bytes back and passes them on when the fault ends.
	FaultHeld // held
	// FaultCorrupt changes one byte of each connection.
	FaultCorrupt // corrupt
	// FaultTruncate closes each connection in the middle of the stream.
	FaultTruncate // truncate
)

// Direction tells which bytes a fault concerns.
type Direction int

// Directions of bytes.
const (
	DirectionBoth     Direction = iota // both
	DirectionUpstream                  // upstream
	DirectionClient                    // client
)

// Fault is one fault of all connections of a relay. The zero value is none.
type Fault struct {
	Kind FaultKind
	// Direction is where the bytes go that the fault concerns; a cut concerns both.
	Direction Direction
	// Delay is added to every byte by FaultDelay.
	Delay time.Duration
	// AfterBytes is the number of bytes of each connection that pass untouched
	// before FaultCorrupt and FaultTruncate act, counted from SetFault.
	AfterBytes int64
}

// concerns reports whether f bears on bytes that go in direction d.
func (f Fault) concerns(d Direction) bool {
	return f.Direction == DirectionBoth || f.Direction == d
}

// Kind tells what sort of failure an Error reports.
type Kind int

// Kinds of failure.
const (
	KindUnknown Kind = iota // unknown
	KindListen              // listen
	KindClosed              // closed
)

// Error tells which operation of a relay failed.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("ffrelay: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
