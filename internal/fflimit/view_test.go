package fflimit

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
)

// setRandomViews gives each daemon a random view of the fleet and returns the maximum
// number of daemons that allocate for the same cell.
func (s *simulation) setRandomViews(t *rapid.T) int {
	most := 1
	allocators := make(map[string]int)
	for _, d := range s.daemons {
		hidden := rapid.Uint16().Draw(t, "hidden")
		live := slices.DeleteFunc(slices.Clone(s.vms), func(vm ffmember.VM) bool {
			i := slices.Index(s.vms, vm)
			return vm != d.vm && hidden>>i%2 == 1
		})
		f := NewFleet(d.vm.Name, d.vm.DataCentre, s.vms, live)
		d.limiter.SetFleet(f, s.clock(d))
		for _, c := range f.cells(s.contract) {
			if f.allocates(s.contract, c.name) {
				allocators[c.name]++
				most = max(most, allocators[c.name])
			}
		}
	}
	return most
}

// While the views of the daemons differ, several of them may allocate for one cell, and
// the admitted rate is bounded by their number times the contract. Once the views agree
// again, the contract holds.
func TestOveradmissionWithDifferingViewsIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := contract(rapid.Float64Range(5, 300).Draw(t, "rate"), rapid.IntRange(1, 200).Draw(t, "burst"), 100_000)
		s := newSimulation(c, rapid.IntRange(1, 3).Draw(t, "centres"), rapid.IntRange(1, 4).Draw(t, "daemons"), 1)
		settled(s)
		hot := func(int) float64 { return c.RatePerSecond }
		allocators := s.setRandomViews(t)
		s.run(5*time.Second, hot)
		s.checkRate(t, len(s.daemons), float64(allocators))
		for _, d := range s.daemons {
			d.limiter.SetFleet(NewFleet(d.vm.Name, d.vm.DataCentre, s.vms, s.vms), s.clock(d))
		}
		s.run(maxReservation+time.Second, hot)
		s.admitted = nil
		s.run(5*time.Second, hot)
		s.checkRate(t, 0, 1)
	})
}
