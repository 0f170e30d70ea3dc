package fffleet

import (
	"cmp"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Fleet is an immutable set of targets, as of one revision of the store. Fleets share
// the targets that are equal. The zero value is empty.
type Fleet struct {
	// targets is sorted by ID.
	targets []*Target
	// evacuated holds the names of the data centres whose targets get no calls, sorted.
	evacuated []string
	serving   map[string][]Target
	latest    map[netip.AddrPort]*Target
	digest    uint64
}

// New returns a fleet of the given targets.
func New(targets []Target) Fleet {
	m := make(map[string]*Target, len(targets))
	for i := range targets {
		t := targets[i]
		m[t.ID] = &t
	}
	sorted := make([]*Target, 0, len(m))
	for _, t := range m {
		sorted = append(sorted, t)
	}
	slices.SortFunc(sorted, func(a, b *Target) int { return cmp.Compare(a.ID, b.ID) })
	return newFleet(sorted, nil)
}

// newFleet returns a fleet of targets, which are sorted by ID, with some data centres
// evacuated.
func newFleet(targets []*Target, evacuated []string) Fleet {
	f := Fleet{targets: targets, evacuated: evacuated}
	h := xxhash.New()
	var line []byte
	for _, t := range targets {
		line = t.appendContent(line[:0])
		_, _ = h.Write(line)
	}
	for _, name := range evacuated {
		_, _ = h.WriteString("evacuated|" + name + "\n")
	}
	f.digest = h.Sum64()
	f.index()
	return f
}

// appendContent appends the content of t, without its heartbeats, as one line.
func (t *Target) appendContent(b []byte) []byte {
	for _, s := range []string{t.ID, t.Service} {
		b = append(append(b, s...), '|')
	}
	b = append(t.Address.AppendTo(b), '|')
	b = append(append(b, t.DataCentre...), '|')
	b = append(strconv.AppendInt(b, int64(t.Slots), 10), '|')
	b = append(append(b, t.State.String()...), '|')
	if t.Cold {
		b = append(b, "cold|"...)
	}
	return append(strconv.AppendInt(b, t.StartMillis, 10), '\n')
}

// WithoutIndex returns f for comparisons alone: Serving and At find nothing.
func (f Fleet) WithoutIndex() Fleet {
	return Fleet{targets: f.targets, evacuated: f.evacuated, digest: f.digest}
}

// Digest identifies the content of f, ignoring the targets' heartbeats.
func (f Fleet) Digest() uint64 { return f.digest }

// Len returns the number of targets.
func (f Fleet) Len() int { return len(f.targets) }

// All returns the targets sorted by ID.
func (f Fleet) All() []Target {
	all := make([]Target, 0, len(f.targets))
	for _, t := range f.targets {
		all = append(all, *t)
	}
	return all
}

// Get returns the target with the given ID.
func (f Fleet) Get(id string) (Target, bool) {
	i, ok := search(f.targets, id)
	if !ok {
		return Target{}, false
	}
	return *f.targets[i], true
}

// search returns the place of the target with the given ID, and whether it exists.
func search(targets []*Target, id string) (int, bool) {
	return slices.BinarySearchFunc(targets, id, func(t *Target, id string) int { return strings.Compare(t.ID, id) })
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
	next := slices.Clone(f.targets)
	changed := false
	for _, c := range changes {
		i, known := search(next, c.ID)
		switch {
		case c.Target == nil && known:
			next = slices.Delete(next, i, i+1)
			changed = true
		case c.Target == nil, known && c.Target.olderThan(*next[i]):
		case known:
			t := *c.Target
			changed = changed || !next[i].sameContent(t)
			next[i] = &t
		default:
			t := *c.Target
			next = slices.Insert(next, i, &t)
			changed = true
		}
	}
	if !changed {
		return Fleet{targets: next, evacuated: f.evacuated, serving: f.serving, latest: f.latest, digest: f.digest}
	}
	return newFleet(next, f.evacuated)
}

// Union returns f with those of the added targets whose IDs it lacks.
func (f Fleet) Union(added []Target) Fleet {
	var changes []Change
	for i := range added {
		if _, ok := f.Get(added[i].ID); !ok {
			changes = append(changes, Change{ID: added[i].ID, Target: &added[i]})
		}
	}
	if len(changes) == 0 {
		return f
	}
	return f.With(changes)
}

// Difference returns the targets of f whose IDs are not in g.
func (f Fleet) Difference(g Fleet) []Target {
	var missing []Target
	for _, t := range f.targets {
		if _, ok := search(g.targets, t.ID); !ok {
			missing = append(missing, *t)
		}
	}
	return missing
}
