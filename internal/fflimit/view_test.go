package fflimit

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
)

// believe gives each daemon a view of its own and returns the largest number of
// daemons that allocate for the same cell.
func (w *world) believe(t *rapid.T) int {
	most := 1
	allocators := make(map[string]int)
	for _, d := range w.daemons {
		hidden := rapid.Uint16().Draw(t, "hidden")
		live := slices.DeleteFunc(slices.Clone(w.vms), func(vm ffmember.VM) bool {
			i := slices.Index(w.vms, vm)
			return vm != d.vm && hidden>>i%2 == 1
		})
		f := NewFleet(d.vm.Name, d.vm.DataCentre, w.vms, live)
		d.limiter.SetFleet(f, w.clock(d))
		for _, c := range f.cells(w.contract) {
			if f.allocates(w.contract, c.name) {
				allocators[c.name]++
				most = max(most, allocators[c.name])
			}
		}
	}
	return most
}

// With differing views several daemons allocate for one cell. What passes is
// bounded by their number, and one view again bounds it by the contract.
func TestDifferingViewsStayBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := contract(rapid.Float64Range(5, 300).Draw(t, "rate"), rapid.IntRange(1, 200).Draw(t, "burst"), 100_000)
		w := newWorld(c, rapid.IntRange(1, 3).Draw(t, "centres"), rapid.IntRange(1, 4).Draw(t, "daemons"), 1)
		quietWorld(w)
		hot := func(int) float64 { return c.RatePerSecond }
		allocators := w.believe(t)
		w.run(5*time.Second, hot)
		w.checkRate(t, len(w.daemons), float64(allocators))
		for _, d := range w.daemons {
			d.limiter.SetFleet(NewFleet(d.vm.Name, d.vm.DataCentre, w.vms, w.vms), w.clock(d))
		}
		w.run(holdTerm+time.Second, hot)
		w.admitted = nil
		w.run(5*time.Second, hot)
		w.checkRate(t, 0, 1)
	})
}
