package fffleet

import (
	"maps"
	"time"
)

// Departed holds the last known entries of targets that were removed from the list. It is
// immutable, and the zero value is empty.
type Departed struct{ entries map[string]departure }

// departure is the last known entry of a removed target.
type departure struct {
	last     Target
	forgetAt time.Time
}

// With returns d with the targets last, which are forgotten at forgetAt, and without those
// that are to be forgotten by now.
func (d Departed) With(last []Target, forgetAt, now time.Time) Departed {
	entries := make(map[string]departure, len(d.entries)+len(last))
	for id, e := range d.entries {
		if now.Before(e.forgetAt) {
			entries[id] = e
		}
	}
	for _, t := range last {
		entries[t.ID] = departure{last: t, forgetAt: forgetAt}
	}
	return Departed{entries: entries}
}

// Union returns d with the targets of e.
func (d Departed) Union(e Departed) Departed {
	entries := maps.Clone(d.entries)
	if entries == nil {
		return e
	}
	maps.Copy(entries, e.entries)
	return Departed{entries: entries}
}

// Has reports whether t is not newer than the last entry of the same target. Entries
// without a start time cannot be compared.
func (d Departed) Has(t Target) bool {
	e, ok := d.entries[t.ID]
	return ok && (t.olderThan(e.last) || t.sameEntry(e.last))
}

// WithDeparted returns f with the targets in d draining, unless their entries are newer.
func (f Fleet) WithDeparted(d Departed) Fleet {
	var changes []Change
	for id := range d.entries {
		t, ok := f.Get(id)
		if ok && t.State == StateReady && d.Has(t) {
			t.State = StateDraining
			changes = append(changes, Change{ID: id, Target: &t})
		}
	}
	if len(changes) == 0 {
		return f
	}
	return f.With(changes)
}
