package fffleet

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Fleet is an immutable set of targets, as of one revision of the store. The zero
// value is empty.
type Fleet struct {
	targets map[string]Target
	serving map[string][]Target
	latest  map[netip.AddrPort]Target
	digest  uint64
}

// New returns a fleet of the given targets.
func New(targets []Target) Fleet {
	m := make(map[string]Target, len(targets))
	for _, t := range targets {
		m[t.ID] = t
	}
	return newFleet(m)
}

func newFleet(m map[string]Target) Fleet {
	f := Fleet{targets: m}
	h := xxhash.New()
	for _, t := range f.All() {
		_, _ = h.WriteString(t.ID + "|" + t.Service + "|" + t.Address.String() + "|" + t.DataCentre + "|" +
			strconv.Itoa(t.Slots) + "|" + t.State.String() + "|" + strconv.FormatInt(t.StartMillis, 10) + "\n")
	}
	f.digest = h.Sum64()
	f.index()
	return f
}

// Digest identifies the content of f, ignoring the targets' heartbeats.
func (f Fleet) Digest() uint64 { return f.digest }

// Len returns the number of targets.
func (f Fleet) Len() int { return len(f.targets) }

// All returns the targets sorted by ID.
func (f Fleet) All() []Target {
	return slices.SortedFunc(maps.Values(f.targets), func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
}

// Get returns the target with the given ID.
func (f Fleet) Get(id string) (Target, bool) {
	t, ok := f.targets[id]
	return t, ok
}

// Change updates or removes one target of a fleet.
type Change struct {
	ID string
	// Target is nil when the store's entry was removed or is invalid.
	Target *Target
}

// With returns f with changes applied. A change that is older than the known entry
// of the same target is ignored.
func (f Fleet) With(changes []Change) Fleet {
	m := maps.Clone(f.targets)
	if m == nil {
		m = make(map[string]Target)
	}
	changed := false
	for _, c := range changes {
		old, known := m[c.ID]
		switch {
		case c.Target == nil:
			delete(m, c.ID)
			changed = changed || known
		case known && c.Target.olderThan(old):
		default:
			m[c.ID] = *c.Target
			changed = changed || !known || !old.sameContent(*c.Target)
		}
	}
	if !changed {
		return Fleet{targets: m, serving: f.serving, latest: f.latest, digest: f.digest}
	}
	return newFleet(m)
}

// Union returns f with those of the added targets whose IDs it lacks.
func (f Fleet) Union(added []Target) Fleet {
	if len(added) == 0 {
		return f
	}
	m := maps.Clone(f.targets)
	if m == nil {
		m = make(map[string]Target)
	}
	for _, t := range added {
		if _, ok := m[t.ID]; !ok {
			m[t.ID] = t
		}
	}
	return newFleet(m)
}

// Difference returns the targets of f whose IDs are not in g.
func (f Fleet) Difference(g Fleet) []Target {
	var missing []Target
	for _, t := range f.All() {
		if _, ok := g.targets[t.ID]; !ok {
			missing = append(missing, t)
		}
	}
	return missing
}
