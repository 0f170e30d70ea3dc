package fffleet

import "net/netip"

//go:generate stringer -type=State -linecomment -output=state_string.go

// State is the state that a target reports, or that it is known to be in.
type State int

// States of a target. None reports StateReplaced: another target answers at its address.
const (
	StateReady    State = iota // ready
	StateDraining              // draining
	StateReplaced              // replaced
)

// Target is one run of a process that serves requests.
type Target struct {
	ID         string         `json:"id"`
	Service    string         `json:"service"`
	Address    netip.AddrPort `json:"address"`
	DataCentre string         `json:"dataCentre"`
	Slots      int            `json:"slots"`
	State      State          `json:"state"`
	// StartMillis is the Unix time of the process start, in milliseconds; 0 when unknown.
	StartMillis int64 `json:"born,omitempty"`
	// Cold reports whether the target said that it is cold, so that it takes fewer calls.
	Cold bool `json:"cold,omitempty"`
	// Sequence counts the heartbeats since the start.
	Sequence int64 `json:"sequence"`
}

// VM returns the address of the target's VM.
func (t Target) VM() netip.Addr { return t.Address.Addr() }

// SameRun reports whether t and u are the same run of a target.
func (t Target) SameRun(u Target) bool { return t.ID == u.ID && t.StartMillis == u.StartMillis }

// olderThan reports whether t is an older entry of the same target than u. Entries
// without a start time cannot be compared.
func (t Target) olderThan(u Target) bool {
	if t.StartMillis == 0 || u.StartMillis == 0 {
		return false
	}
	if t.StartMillis != u.StartMillis {
		return t.StartMillis < u.StartMillis
	}
	return t.Sequence < u.Sequence
}

// sameEntry reports whether t and u are the same entry of the same run of a target.
func (t Target) sameEntry(u Target) bool {
	return t.StartMillis != 0 && t.StartMillis == u.StartMillis && t.Sequence == u.Sequence
}

// supersedes reports whether t is a later target than u at the same address.
func (t Target) supersedes(u Target) bool {
	if t.StartMillis != u.StartMillis {
		return t.StartMillis > u.StartMillis
	}
	return u.State == StateDraining && t.State == StateReady
}

// sameContent reports whether t and u are equal apart from Sequence.
func (t Target) sameContent(u Target) bool {
	t.Sequence = u.Sequence
	return t == u
}
