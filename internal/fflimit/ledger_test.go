package fflimit

import (
	"pgregory.net/rapid"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
)

// checkPermitAccounting checks that every permit in use is reserved by the allocator
// that granted it, and that no cell grants more permits than it has.
func (s *simulation) checkPermitAccounting(t *rapid.T) {
	for _, d := range s.daemons {
		s.checkAccount(t, d)
		for _, a := range d.limiter.allocator.allocations {
			s.checkAllocation(t, d, a)
		}
	}
}

func (s *simulation) checkAccount(t *rapid.T, d *daemon) {
	a := d.limiter.accountFor(s.contract.Customer)
	if !s.clock(d).Before(a.grantedUntil) || a.granted == 0 {
		return
	}
	if counted := s.reservedFor(a.allocator, a.cell, d.limiter.Holder); a.granted > counted {
		t.Fatalf("%s may use %d permits at %s, its allocator reserves %d", d.vm.Name, a.granted, s.now, counted)
	}
}

func (s *simulation) checkAllocation(t *rapid.T, d *daemon, a *allocation) {
	available := a.quota.permits
	for _, l := range a.borrowed.lenders {
		counted := s.reservedFor(l.vm, l.cell, a.cell+"@"+d.limiter.Holder)
		if s.clock(d).Before(l.grantedUntil) && l.granted > counted {
			t.Fatalf("%s borrows %d permits at %s, the lender reserves %d", a.cell, l.granted, s.now, counted)
		}
		available += counted
	}
	if n := s.granted(d, a.cell); n > available {
		t.Fatalf("%s has granted %d permits at %s, it has %d", a.cell, n, s.now, available)
	}
}

// granted returns the number of permits of one allocator that daemons may use.
func (s *simulation) granted(allocator *daemon, cell string) int {
	n := 0
	for _, d := range s.daemons {
		a := d.limiter.accountFor(s.contract.Customer)
		if a.cell == cell && a.allocator.Name == allocator.vm.Name && s.clock(d).Before(a.grantedUntil) {
			n += a.granted
		}
	}
	return n
}

// reservedFor returns the number of permits that an allocator reserves for a holder.
func (s *simulation) reservedFor(vm ffmember.VM, cell, holder string) int {
	d := s.byName[vm.Name]
	a := d.limiter.allocator.allocations[allocationKey{customer: s.contract.Customer, cell: cell}]
	if a == nil || a.holders[holder] == nil {
		return 0
	}
	return a.holders[holder].reserved(s.clock(d))
}
