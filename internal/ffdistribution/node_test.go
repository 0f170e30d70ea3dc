package ffdistribution_test

import (
	"fmt"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffdistribution"
	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffplacement"
)

// convergence is the time within which a published version must be active everywhere.
const convergence = 5 * time.Second

func TestVersionReachesEveryDaemon(t *testing.T) {
	inFleet(t, 3, 20, func(t *testing.T, f *fleet) {
		f.platform.serve(newRelease(1, "a", false))
		f.startAll()
		f.requireActive(t, newRelease(1, "a", false).version, 10*time.Second)
		for number := uint64(2); number < 5; number++ {
			r := newRelease(number, "a", false)
			f.platform.serve(r)
			f.requireActive(t, r.version, convergence)
		}
	})
}

// plannedFleetSize is the size of the largest planned fleet, in daemons.
const plannedFleetSize = 5200

// favourFew names the VMs so that each data centre has exactly as many favoured VMs
// as readers, as in a large data centre, and configures the largest fleet size.
func (f *fleet) favourFew() {
	f.fleetSize = plannedFleetSize
	fraction := (&ffdistribution.Budget{}).FavouredFraction()
	favoured := make(map[string]int)
	for i := range f.vms {
		vm := &f.vms[i]
		want := favoured[vm.DataCentre] < ffplacement.ReaderCount
		for tried := 0; ffplacement.Favoured(vm.Name, fraction) != want; tried++ {
			vm.Name = fmt.Sprintf("%s-%d-%d", vm.DataCentre, i, tried)
		}
		vm.PeerAddress = vm.Name
		favoured[vm.DataCentre]++
	}
	f.platform.list.VMs = append([]ffmember.VM{}, f.vms...)
}

// TestWholeFleetStartsWithinBudget starts all daemons at once with a large version
// published, when no daemon has any piece yet.
func TestWholeFleetStartsWithinBudget(t *testing.T) {
	inFleet(t, 6, 6, func(t *testing.T, f *fleet) {
		f.favourFew()
		r := newLargeRelease(1, "a", false, 60)
		f.platform.serve(r)
		f.startAll()
		f.requireActive(t, r.version, 20*time.Second)
	})
}

// TestBudgetOfLargestFleetIsEnough checks that small and large versions spread in
// time while each daemon is limited to its budget in the largest fleet.
func TestBudgetOfLargestFleetIsEnough(t *testing.T) {
	inFleet(t, 6, 6, func(t *testing.T, f *fleet) {
		f.favourFew()
		f.platform.serve(newRelease(1, "a", false))
		f.startAll()
		f.requireActive(t, newRelease(1, "a", false).version, 30*time.Second)
		for i, routes := range []int{0, 10, 60} {
			r := newLargeRelease(uint64(i+2), "a", false, routes)
			f.platform.serve(r)
			f.requireActive(t, r.version, convergence)
			advance(startTime)
		}
	})
}
