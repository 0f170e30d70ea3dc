package fffleet

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Fleet is the targets at one revision of the store. It is immutable; the zero
// value is empty.
type Fleet struct {
	targets map[string]Target
	serving map[string][]Target
	latest  map[netip.AddrPort]Target
	digest  uint64
}

// New returns the fleet of targets.
func New(targets []Target) Fleet {
	m := make(map[string]Target, len(targets))
	for _, t := range targets {
		m[t.ID] = t
	}
	return build(m)
}

func build(m map[string]Target) Fleet {
	f := Fleet{targets: m}
	h := xxhash.New()
	for _, t := range f.All() {
		_, _ = h.WriteString(t.ID + "|" + t.Service + "|" + t.Address.String() + "|" + t.DataCentre + "|" +
			strconv.Itoa(t.Slots) + "|" + t.State.String() + "|" + strconv.FormatInt(t.Born, 10) + "\n")
	}
	f.digest = h.Sum64()
	f.index()
	return f
}

// Digest names the content of f but for heartbeats.
func (f Fleet) Digest() uint64 { return f.digest }

// Len returns the number of targets.
func (f Fleet) Len() int { return len(f.targets) }

// All returns the targets in the order of their IDs.
func (f Fleet) All() []Target {
	return slices.SortedFunc(maps.Values(f.targets), func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
}

// Get returns the target of an ID.
func (f Fleet) Get(id string) (Target, bool) {
	t, ok := f.targets[id]
	return t, ok
}

// Change is one step from a fleet to the next.
type Change struct {
	ID string
	// Target is nil when the entry is gone or names no usable target.
	Target *Target
}

// With returns f after changes. An earlier word of the same target than the one
// known changes nothing.
func (f Fleet) With(changes []Change) Fleet {
	m := maps.Clone(f.targets)
	if m == nil {
		m = make(map[string]Target)
	}
	material := false
	for _, c := range changes {
		old, known := m[c.ID]
		switch {
		case c.Target == nil:
			delete(m, c.ID)
			material = material || known
		case known && c.Target.older(old):
		default:
			m[c.ID] = *c.Target
			material = material || !known || !old.same(*c.Target)
		}
	}
	if !material {
		return Fleet{targets: m, serving: f.serving, latest: f.latest, digest: f.digest}
	}
	return build(m)
}

// Holding returns f with the targets of more that it lacks.
func (f Fleet) Holding(more []Target) Fleet {
	if len(more) == 0 {
		return f
	}
	m := maps.Clone(f.targets)
	if m == nil {
		m = make(map[string]Target)
	}
	for _, t := range more {
		if _, ok := m[t.ID]; !ok {
			m[t.ID] = t
		}
	}
	return build(m)
}

// Without returns the targets of f that g lacks.
func (f Fleet) Without(g Fleet) []Target {
	var missing []Target
	for _, t := range f.All() {
		if _, ok := g.targets[t.ID]; !ok {
			missing = append(missing, t)
		}
	}
	return missing
}
