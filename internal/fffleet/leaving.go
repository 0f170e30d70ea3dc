package fffleet

import "maps"

// Leaving holds runs of targets that are leaving, or that others have replaced, which the
// store may not know. It is immutable, and the zero value is empty.
type Leaving struct{ runs map[string]Target }

// Len returns the number of runs.
func (l Leaving) Len() int { return len(l.runs) }

// With returns l with the run t, unless l holds it or a later run of the same target.
func (l Leaving) With(t Target) Leaving {
	if l.Has(t) {
		return l
	}
	runs := maps.Clone(l.runs)
	if runs == nil {
		runs = make(map[string]Target)
	}
	runs[t.ID] = t
	return Leaving{runs: runs}
}

// Within returns l without the targets that f does not hold.
func (l Leaving) Within(f Fleet) Leaving {
	runs := maps.Clone(l.runs)
	maps.DeleteFunc(runs, func(id string, _ Target) bool {
		_, ok := f.Get(id)
		return !ok
	})
	return Leaving{runs: runs}
}

// Has reports whether the run t, or a later one of the same target, said that it is
// leaving.
func (l Leaving) Has(t Target) bool {
	run, ok := l.runs[t.ID]
	return ok && t.StartMillis <= run.StartMillis
}

// WithLeaving returns f with the runs in l draining, whatever their entries say.
func (f Fleet) WithLeaving(l Leaving) Fleet { return f.withState(l, StateDraining) }

// WithReplaced returns f with the runs in l replaced, whatever their entries say.
func (f Fleet) WithReplaced(l Leaving) Fleet { return f.withState(l, StateReplaced) }

// withState returns f with the runs in l in a state, unless they are in a later one.
func (f Fleet) withState(l Leaving, state State) Fleet {
	var changes []Change
	for id := range l.runs {
		t, ok := f.Get(id)
		if ok && t.State < state && l.Has(t) {
			t.State = state
			changes = append(changes, Change{ID: id, Target: &t})
		}
	}
	if len(changes) == 0 {
		return f
	}
	return f.With(changes)
}
