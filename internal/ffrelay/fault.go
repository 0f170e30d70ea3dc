// Package ffrelay is a TCP proxy that injects faults, for tests of how the two ends
// react. It is used instead of toxiproxy for two reasons: the module graph of toxiproxy
// cannot be resolved through the module proxy that the project builds with, and a toxic
// applies to open and new connections alike, so it cannot silence only the open ones.
package ffrelay

import (
	"fmt"
	"time"
)

//go:generate stringer -type=Kind,FaultKind,Direction -linecomment -output=enum_string.go

// FaultKind is the kind of a fault.
type FaultKind int

// Fault kinds.
const (
	// FaultNone forwards everything unchanged.
	FaultNone FaultKind = iota // none
	// FaultDelay forwards bytes after a delay, in order.
	FaultDelay // delay
	// FaultCut resets open connections and refuses new ones.
	FaultCut // cut
	// FaultSilent discards bytes. A connection that lost bytes forwards nothing any more,
	// also after the fault.
	FaultSilent // silent
	// FaultSilentOpen permanently discards all bytes of the connections that are open now;
	// new connections work.
	FaultSilentOpen // silentOpen
	// FaultHold holds bytes back and forwards them when the fault ends.
	FaultHold // held
	// FaultCorrupt flips one bit of one byte per connection and direction.
	FaultCorrupt // corrupt
	// FaultTruncate closes each connection after a number of bytes.
	FaultTruncate // truncate
)

// Direction selects the bytes that a fault applies to.
type Direction int

// Directions: both, to the upstream, to the client.
const (
	DirectionBoth       Direction = iota // both
	DirectionUpstream                    // upstream
	DirectionDownstream                  // client
)

// Fault is a fault that applies to all connections of a relay. The zero value is no fault.
type Fault struct {
	Kind FaultKind
	// Direction selects the affected bytes; FaultCut always affects both directions.
	Direction Direction
	// Delay is the delay of every byte under FaultDelay.
	Delay time.Duration
	// AfterBytes is the number of bytes per connection and direction that are forwarded
	// unchanged before FaultCorrupt and FaultTruncate act, counted from SetFault.
	AfterBytes int64
}

// appliesTo reports whether f applies to bytes in direction d.
func (f Fault) appliesTo(d Direction) bool {
	return f.Direction == DirectionBoth || f.Direction == d
}

// Kind is the kind of failure that an Error reports.
type Kind int

// Failure kinds.
const (
	KindUnknown Kind = iota // unknown
	KindListen              // listen
	KindClosed              // closed
)

// Error reports a failed operation of a relay.
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
