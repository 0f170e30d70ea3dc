package fffleet

import "net/netip"

//go:generate stringer -type=State -linecomment -output=state_string.go

// State is what a target says of itself.
type State int

// States of a target.
const (
	StateReady    State = iota // ready
	StateDraining              // draining
)

// Target is one life of a process that serves requests.
type Target struct {
	ID         string         `json:"id"`
	Service    string         `json:"service"`
	Address    netip.AddrPort `json:"address"`
	DataCentre string         `json:"dataCentre"`
	Slots      int            `json:"slots"`
	State      State          `json:"state"`
	// Born is the Unix time of the start, in milliseconds; 0 when it is not told.
	Born int64 `json:"born,omitempty"`
	// Sequence counts the heartbeats of one life.
	Sequence int64 `json:"sequence"`
}

// VM returns the address of the VM that the target runs on.
func (t Target) VM() netip.Addr { return t.Address.Addr() }

// older reports whether t is an earlier word than u of the same target. Words
// that do not tell the start cannot be compared.
func (t Target) older(u Target) bool {
	if t.Born == 0 || u.Born == 0 {
		return false
	}
	if t.Born != u.Born {
		return t.Born < u.Born
	}
	return t.Sequence < u.Sequence
}

// replaces reports whether t, at the address of u, came after u.
func (t Target) replaces(u Target) bool {
	if t.Born != u.Born {
		return t.Born > u.Born
	}
	return u.State == StateDraining && t.State == StateReady
}

// same reports whether t and u differ in nothing but their heartbeat.
func (t Target) same(u Target) bool {
	t.Sequence = u.Sequence
	return t == u
}
