package fflimit

import (
	"testing"
	"time"
)

// quietWorld returns a fleet that has learnt and whose buckets are full.
func quietWorld(w *world) *world {
	for _, d := range w.daemons {
		w.boot(d)
	}
	w.now += time.Hour
	return w
}

func TestRestartedAllocatorHasNoNewBurst(t *testing.T) {
	w := newWorld(contract(1, 200, 100_000), 2, 3, 1)
	quietWorld(w)
	hot := func(i int) float64 { return float64(20 * (i % 2)) }
	w.run(30*time.Second, hot)
	before := len(w.admitted)
	for _, d := range w.daemons {
		w.boot(d)
	}
	w.run(3*time.Second, hot)
	cells := 2.0
	most := 3 + (tokenTerm + potTerm).Seconds() + 2*cells + staticShare*200
	if got := len(w.admitted) - before; float64(got) > most {
		t.Fatalf("%d calls passed after the restart, at most %.0f may", got, most)
	}
}

// only returns a load at some daemons.
func only(rate float64, daemons ...int) func(int) float64 {
	return func(i int) float64 {
		for _, d := range daemons {
			if i == d {
				return rate
			}
		}
		return 0
	}
}

// mostUsable returns the largest number of permits that were usable while f ran.
func (w *world) mostUsable(f func()) int {
	most := 0
	w.check = func() { most = max(most, w.usable()) }
	f()
	return most
}

func TestRestartedAllocatorLearnsBeforeItGrants(t *testing.T) {
	w := quietWorld(newWorld(contract(1e5, 1e5, 40), 1, 4, 1))
	w.callTime = time.Second
	allocator := w.allocatorOf("dc-0/0")
	var others []int
	for i, d := range w.daemons {
		if d != allocator {
			others = append(others, i)
		}
	}
	w.run(4*time.Second, only(200, others[0]))
	w.boot(allocator)
	w.daemons[others[0]].pausedUntil = w.now + 10*time.Second
	got := w.mostUsable(func() { w.run(2*time.Second, only(200, others[1])) })
	if most := 40 + int(learningShare*40) + 1; got > most {
		t.Fatalf("%d permits were usable after the restart, at most %d may", got, most)
	}
}

func TestLoanIsNotUsedTwiceWhenCellsAreCutOff(t *testing.T) {
	w := quietWorld(newWorld(contract(1e5, 1e5, 40), 2, 2, 1))
	w.callTime = time.Second
	borrower := 0
	if w.allocatorOf("dc-0/0") == w.daemons[borrower] {
		borrower = 2
	}
	w.run(4*time.Second, only(200, borrower))
	// The borrowing cell loses the lender, and near the loan's end its daemon too.
	alone := w.now + loanTerm - 500*time.Millisecond
	w.faults.cut = func(from, to *daemon, now time.Duration) bool {
		lost := now > alone && (from == w.daemons[borrower] || to == w.daemons[borrower])
		return lost || from.vm.DataCentre != to.vm.DataCentre
	}
	got := w.mostUsable(func() { w.run(20*time.Second, only(200, borrower, 1, 3)) })
	if got > 40 {
		t.Fatalf("%d permits were usable while the data centres were cut off, the contract allows 40", got)
	}
}

// allocatorOf returns the daemon that allocates for a cell.
func (w *world) allocatorOf(name string) *daemon {
	f := NewFleet("", "", w.vms, w.vms)
	for _, c := range f.cells(w.contract) {
		if c.name == name {
			vm, _ := f.allocator(&c, w.contract.Customer)
			return w.byName[vm.Name]
		}
	}
	return nil
}

func TestTokensOfFormerLoadExpire(t *testing.T) {
	w := quietWorld(newWorld(contract(100, 1, 100_000), 1, 30, 1))
	for i := range w.daemons {
		w.run(time.Second, only(60, i))
	}
	before := len(w.admitted)
	w.run(time.Second, func(int) float64 { return 100 })
	if got, most := len(w.admitted)-before, 100+w.slack(0); float64(got) > most {
		t.Fatalf("%d calls passed in a second, at most %.0f may", got, most)
	}
}
