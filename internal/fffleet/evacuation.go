package fffleet

import "slices"

// Evacuated returns the data centres whose targets get no calls, sorted by name. The caller
// must not modify the result.
func (f Fleet) Evacuated() []string { return f.evacuated }

// IsEvacuated reports whether the targets of a data centre get no calls.
func (f Fleet) IsEvacuated(dataCentre string) bool {
	_, ok := slices.BinarySearch(f.evacuated, dataCentre)
	return ok
}

// WithEvacuated returns f with exactly the named data centres evacuated. Names of unknown
// data centres have no effect, until a target there is listed.
func (f Fleet) WithEvacuated(dataCentres []string) Fleet {
	sorted := slices.Clone(dataCentres)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	if slices.Equal(sorted, f.evacuated) {
		return f
	}
	return newFleet(f.targets, sorted)
}

// Evacuation starts or ends the evacuation of a data centre.
type Evacuation struct {
	DataCentre string
	// Ended reports that the data centre is taken back.
	Ended bool
}

// WithEvacuations returns f with changes applied in turn.
func (f Fleet) WithEvacuations(changes []Evacuation) Fleet {
	names := slices.Clone(f.evacuated)
	for _, c := range changes {
		names = slices.DeleteFunc(names, func(name string) bool { return name == c.DataCentre })
		if !c.Ended {
			names = append(names, c.DataCentre)
		}
	}
	return f.WithEvacuated(names)
}

// WithoutCold returns f as if no target had said that it is cold.
func (f Fleet) WithoutCold() Fleet {
	var changes []Change
	for _, t := range f.targets {
		if t.Cold {
			warm := *t
			warm.Cold = false
			changes = append(changes, Change{ID: t.ID, Target: &warm})
		}
	}
	if len(changes) == 0 {
		return f
	}
	return f.With(changes)
}
