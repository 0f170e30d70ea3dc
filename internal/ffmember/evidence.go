package ffmember

import (
	"cmp"
	"time"
)

// Evidence is what a daemon said of its own VM: its incarnation and its state.
// It counts until it expires; after that the platform's list decides.
type Evidence struct {
	VM          VM
	Incarnation Incarnation
	State       State
	// Expires is the time from which the evidence no longer counts.
	Expires time.Time
}

// merge returns the least evidence that covers both. The later incarnation
// supersedes the earlier one; within an incarnation neither the state nor the
// expiry time ever goes back.
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

// covers reports whether other adds nothing to e.
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
