package ffmeshsoak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Fault is one kind of harm or planned work.
type Fault int

// Faults.
const (
	FaultKill        Fault = iota // kill
	FaultStop                     // stop
	FaultFreeze                   // freeze
	FaultHangup                   // hangup
	FaultStoreCut                 // storeCut
	FaultStoreSilent              // storeSilent
	FaultStoreDelay               // storeDelay
	FaultTargetReset              // targetReset
	FaultTargetHush               // targetHush
	FaultLeave                    // leave
	FaultVersion                  // version
	faults                        // end
)

// Event is one fault at one VM, from At to At plus For after the start of the load.
type Event struct {
	At, For time.Duration
	Fault   Fault
	VM      int
}

const (
	// firstFault and lastFault bound the time of faults within a soak.
	firstFault = time.Second
	lastFault  = 6 * time.Second
	// meanGap is the mean time between two faults.
	meanGap = 450 * time.Millisecond
	// seriesOdds is one in how many faults comes as a series over several VMs.
	seriesOdds = 5
	seriesGap  = 300 * time.Millisecond
	maxHarm    = 2500 * time.Millisecond
)

// Draw returns the events of a seed in the order of their times. Faults overlap
// and come in series; the last part of the soak is left to recovery.
func Draw(seed uint64, length time.Duration, vms int) []Event {
	r := rand.New(rand.NewPCG(seed, 1))
	var all []Event
	for at := firstFault; at < length-lastFault; at += time.Duration(r.Int64N(int64(2 * meanGap))) {
		e := Event{At: at, For: maxHarm/5 + time.Duration(r.Int64N(int64(maxHarm*4/5))), Fault: Fault(r.IntN(int(faults))), VM: r.IntN(vms)}
		all = append(all, e)
		for n := 1; r.IntN(seriesOdds) == 0 && n < vms; n++ {
			next := e
			next.At += time.Duration(n) * seriesGap
			next.VM = (e.VM + n) % vms
			all = append(all, next)
		}
	}
	slices.SortStableFunc(all, func(a, b Event) int { return int(a.At - b.At) })
	return all
}
