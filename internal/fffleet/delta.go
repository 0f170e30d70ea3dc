package fffleet

// Delta is the difference between two fleets.
type Delta struct {
	Changed []Target `json:"changed,omitempty"`
	Removed []string `json:"removed,omitempty"`
}

// Since returns the changes that turn base into f.
func (f Fleet) Since(base Fleet) *Delta {
	d := &Delta{}
	for _, t := range f.targets {
		if i, ok := search(base.targets, t.ID); !ok || !base.targets[i].sameContent(*t) {
			d.Changed = append(d.Changed, *t)
		}
	}
	for _, t := range base.Difference(f) {
		d.Removed = append(d.Removed, t.ID)
	}
	return d
}

// Changes returns d as one change per target.
func (d *Delta) Changes() []Change {
	changes := make([]Change, 0, len(d.Changed)+len(d.Removed))
	for i := range d.Changed {
		changes = append(changes, Change{ID: d.Changed[i].ID, Target: &d.Changed[i]})
	}
	for _, id := range d.Removed {
		changes = append(changes, Change{ID: id})
	}
	return changes
}
