package fflimit

import (
	"testing"
	"time"
)

// settled starts all daemons and lets an hour pass, so that learning has ended and all
// buckets are full.
func settled(s *simulation) *simulation {
	for _, d := range s.daemons {
		s.start(d)
	}
	s.now += time.Hour
	return s
}

func TestRestartedAllocatorHasNoNewBurst(t *testing.T) {
	s := newSimulation(contract(1, 200, 100_000), 2, 3, 1)
	settled(s)
	hot := func(i int) float64 { return float64(20 * (i % 2)) }
	s.run(30*time.Second, hot)
	before := len(s.admitted)
	for _, d := range s.daemons {
		s.start(d)
	}
	s.run(3*time.Second, hot)
	cells := 2.0
	most := 3 + (tokenTerm + borrowedTokenTerm).Seconds() + 2*cells + staticShare*200
	if got := len(s.admitted) - before; float64(got) > most {
		t.Fatalf("%d calls were admitted after the restart, want at most %.0f", got, most)
	}
}

// loadAt returns a load of rate calls per second at the given daemons.
func loadAt(rate float64, daemons ...int) func(int) float64 {
	return func(i int) float64 {
		for _, d := range daemons {
			if i == d {
				return rate
			}
		}
		return 0
	}
}

// maxUsablePermits returns the maximum number of usable permits while f runs.
func (s *simulation) maxUsablePermits(f func()) int {
	most := 0
	s.check = func() { most = max(most, s.usablePermits()) }
	f()
	return most
}

func TestRestartedAllocatorLimitsGrantsWhileLearning(t *testing.T) {
	s := settled(newSimulation(contract(1e5, 1e5, 40), 1, 4, 1))
	s.callTime = time.Second
	allocator := s.allocatorOf("dc-0/0")
	var others []int
	for i, d := range s.daemons {
		if d != allocator {
			others = append(others, i)
		}
	}
	s.run(4*time.Second, loadAt(200, others[0]))
	s.start(allocator)
	s.daemons[others[0]].pausedUntil = s.now + 10*time.Second
	got := s.maxUsablePermits(func() { s.run(2*time.Second, loadAt(200, others[1])) })
	if most := 40 + int(learningShare*40) + 1; got > most {
		t.Fatalf("%d permits were usable after the restart, want at most %d", got, most)
	}
}

func TestLoanIsNotUsedTwiceDuringPartition(t *testing.T) {
	s := settled(newSimulation(contract(1e5, 1e5, 40), 2, 2, 1))
	s.callTime = time.Second
	borrower := 0
	if s.allocatorOf("dc-0/0") == s.daemons[borrower] {
		borrower = 2
	}
	s.run(4*time.Second, loadAt(200, borrower))
	// The data centres are cut off from each other, and shortly before the loan ends
	// the borrowing daemon from all others.
	isolatedAt := s.now + loanTerm - 500*time.Millisecond
	s.faults.cut = func(from, to *daemon, now time.Duration) bool {
		isolated := now > isolatedAt && (from == s.daemons[borrower] || to == s.daemons[borrower])
		return isolated || from.vm.DataCentre != to.vm.DataCentre
	}
	got := s.maxUsablePermits(func() { s.run(20*time.Second, loadAt(200, borrower, 1, 3)) })
	if got > 40 {
		t.Fatalf("%d permits were usable during the partition, the contract allows 40", got)
	}
}

// allocatorOf returns the daemon that allocates for a cell.
func (s *simulation) allocatorOf(name string) *daemon {
	f := NewFleet("", "", s.vms, s.vms)
	for _, c := range f.cells(s.contract) {
		if c.name == name {
			vm, _ := f.allocator(&c, s.contract.Customer)
			return s.byName[vm.Name]
		}
	}
	return nil
}

func TestTokensOfPreviousLoadExpire(t *testing.T) {
	s := settled(newSimulation(contract(100, 1, 100_000), 1, 30, 1))
	for i := range s.daemons {
		s.run(time.Second, loadAt(60, i))
	}
	before := len(s.admitted)
	s.run(time.Second, func(int) float64 { return 100 })
	if got, most := len(s.admitted)-before, 100+s.rateSlack(0); float64(got) > most {
		t.Fatalf("%d calls were admitted in one second, want at most %.0f", got, most)
	}
}
