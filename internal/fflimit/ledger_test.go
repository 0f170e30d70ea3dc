package fflimit

import (
	"pgregory.net/rapid"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
)

// checkLedgers checks that every permit that anyone may use is counted by the
// one that granted it, and that no cell grants more than it has.
func (w *world) checkLedgers(t *rapid.T) {
	for _, d := range w.daemons {
		w.checkAccount(t, d)
		for _, a := range d.limiter.allocator.allocations {
			w.checkAllocation(t, d, a)
		}
	}
}

func (w *world) checkAccount(t *rapid.T, d *daemon) {
	a := d.limiter.accountOf(w.contract.Customer)
	if !w.clock(d).Before(a.grantedUntil) || a.granted == 0 {
		return
	}
	if counted := w.counted(a.allocator, a.cell, d.limiter.Holder); a.granted > counted {
		t.Fatalf("%s may use %d permits at %s, its allocator counts %d", d.vm.Name, a.granted, w.now, counted)
	}
}

func (w *world) checkAllocation(t *rapid.T, d *daemon, a *allocation) {
	backed := a.part.permits
	for _, l := range a.borrowed.lenders {
		counted := w.counted(l.vm, l.cell, a.cell+"@"+d.limiter.Holder)
		if w.clock(d).Before(l.until) && l.granted > counted {
			t.Fatalf("%s borrows %d permits at %s, the lender counts %d", a.cell, l.granted, w.now, counted)
		}
		backed += counted
	}
	if n := w.granted(d, a.cell); n > backed {
		t.Fatalf("%s has granted %d permits at %s, it has %d", a.cell, n, w.now, backed)
	}
}

// granted returns the permits that daemons may use from one allocator.
func (w *world) granted(allocator *daemon, cell string) int {
	n := 0
	for _, d := range w.daemons {
		a := d.limiter.accountOf(w.contract.Customer)
		if a.cell == cell && a.allocator.Name == allocator.vm.Name && w.clock(d).Before(a.grantedUntil) {
			n += a.granted
		}
	}
	return n
}

// counted returns the permits that an allocator counts for a holder.
func (w *world) counted(vm ffmember.VM, cell, holder string) int {
	d := w.byName[vm.Name]
	a := d.limiter.allocator.allocations[place{customer: w.contract.Customer, cell: cell}]
	if a == nil || a.holders[holder] == nil {
		return 0
	}
	return a.holders[holder].exposed(w.clock(d))
}
