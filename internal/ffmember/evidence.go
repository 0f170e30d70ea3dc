package ffmember

import (
	"cmp"
	"time"
)

// Evidence is a daemon's report of its own VM: its incarnation and its state.
// It overrides the platform's list until it expires, except that it cannot make
// a VM live that the list has as leaving.
type Evidence struct {
	VM          VM
	Incarnation Incarnation
	State       State
	// Expires is the time from which the evidence is invalid.
	Expires time.Time
}

// merge returns the least upper bound of both. The later incarnation replaces
// the earlier one; within an incarnation the state and the expiry time never
// decrease.
func (e Evidence) merge(other Evidence) Evidence {
	if e.Incarnation < other.Incarnation {
		return other
	}
	if e.Incarnation > other.Incarnation {
		return e
	}
	merged := e
	if compareVM(other.VM, e.VM) > 0 {
		merged.VM = other.VM
	}
	merged.State = max(e.State, other.State)
	if other.Expires.After(e.Expires) {
		merged.Expires = other.Expires
	}
	return merged
}

// covers reports whether merging other into e leaves e unchanged.
func (e Evidence) covers(other Evidence) bool { return e.merge(other).equal(e) }

func (e Evidence) equal(other Evidence) bool {
	return e.VM == other.VM && e.Incarnation == other.Incarnation && e.State == other.State && e.Expires.Equal(other.Expires)
}

func (e Evidence) hash() uint64 {
	return hashPair(hashVM(e.VM)+uint64(e.State), hashPair(uint64(e.Incarnation), uint64(e.Expires.UnixMilli())))
}

func compareVM(a, b VM) int {
	return cmp.Or(
		cmp.Compare(a.Name, b.Name),
		cmp.Compare(a.DataCentre, b.DataCentre),
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.PeerAddress, b.PeerAddress),
		cmp.Compare(a.ForwardAddress, b.ForwardAddress),
		cmp.Compare(a.OperatorAddress, b.OperatorAddress),
		cmp.Compare(a.State, b.State),
	)
}
