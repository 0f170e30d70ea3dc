package ffsoak

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
	_ "fireflyfall.dev/fireflyfall/internal/ffseed" // fixes the seed
)

var fleet = []ffmember.VM{
	{Name: "a1", DataCentre: "a", Service: "short"},
	{Name: "a2", DataCentre: "a", Service: "long"},
	{Name: "b1", DataCentre: "b", Service: "short"},
	{Name: "b2", DataCentre: "b", Service: "long"},
	{Name: "c1", DataCentre: "c", Service: "short"},
	{Name: "c2", DataCentre: "c", Service: "long"},
}

// TestScheduleFollowsFromSeed checks that a seed always gives the same schedule,
// that every fault ends before the last quarter, and that no two faults overlap
// on the same resource.
func TestScheduleFollowsFromSeed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		length := time.Duration(rapid.IntRange(10, 120).Draw(t, "seconds")) * time.Second
		s := NewSchedule(seed, length, fleet, "long")
		if diff := cmp.Diff(s, NewSchedule(seed, length, fleet, "long")); diff != "" {
			t.Fatal(diff)
		}
		if !slices.ContainsFunc(s.Faults, func(f Fault) bool { return f.Kind == FaultPlannedStop }) {
			t.Fatal("no planned stop")
		}
		d := &builder{fleet: fleet, dataCentres: []string{"a", "b", "c"}}
		for _, f := range s.Faults {
			if f.UntilMillis <= f.AtMillis || f.UntilMillis > length.Milliseconds()*3/4 {
				t.Fatalf("%s in a soak of %s", f, length)
			}
			if !d.place(f) {
				t.Fatalf("%s overlaps another fault on the same resource", f)
			}
		}
	})
}

// TestSeedsCoverEveryFault checks that a few seeds together draw each kind of
// fault and of change.
func TestSeedsCoverEveryFault(t *testing.T) {
	faults := make(map[FaultKind]bool)
	changes := make(map[ChangeKind]bool)
	for seed := range uint64(5) {
		s := NewSchedule(seed, 20*time.Second, fleet, "long")
		for _, f := range s.Faults {
			faults[f.Kind] = true
		}
		for _, c := range s.Changes {
			changes[c.Kind] = true
		}
	}
	if len(faults) != int(faultKinds) || len(changes) != int(changeKinds) {
		t.Fatalf("%d of %d kinds of fault, %d of %d kinds of change", len(faults), faultKinds, len(changes), changeKinds)
	}
}
