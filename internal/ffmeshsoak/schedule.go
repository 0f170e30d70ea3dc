package ffmeshsoak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Fault is the kind of an event: a fault or a planned operation.
type Fault int

// Faults.
const (
	FaultKill         Fault = iota // kill
	FaultStop                      // stop
	FaultFreeze                    // freeze
	FaultHangup                    // hangup
	FaultStoreCut                  // storeCut
	FaultStoreSilent               // storeSilent
	FaultStoreDelay                // storeDelay
	FaultTargetReset               // targetReset
	FaultTargetSilent              // targetHush
	FaultLeave                     // leave
	FaultVersion                   // version
	faultCount                     // end
)

// Faults of the answers of targets.
const (
	FaultTargetLimit           Fault = iota + faultCount + 1 // targetLimit
	FaultTargetSaysLeaving                                   // targetSaysLeaving
	FaultTargetGarbles                                       // targetGarbles
	FaultTargetRepeatsRefusals                               // targetRepeatsRefusals
	targetFaultEnd                                           // targetEnd
)

// Faults of data centres.
const (
	FaultEvacuation Fault = iota + targetFaultEnd + 1 // evacuation
	FaultColdReturn                                   // coldReturn
)

// Event is one fault or operation on one VM, from At to At+For after the start of the load.
type Event struct {
	At, For time.Duration
	Fault   Fault
	VM      int
}

const (
	// Faults start from firstFault after the start of the load until lastFault before the
	// end of the soak; a series may continue a little longer.
	firstFault = time.Second
	lastFault  = 6 * time.Second
	// meanGap is the mean time between two faults or series.
	meanGap = 450 * time.Millisecond
	// One fault in seriesOneIn is repeated on the next VM after seriesGap, and so on.
	seriesOneIn      = 5
	seriesGap        = 300 * time.Millisecond
	maxFaultDuration = 2500 * time.Millisecond
)

// GenerateEvents returns the random events of a seed, sorted by time. Faults overlap and may form
// series over several VMs; the last part of the soak has no new faults, so that the mesh
// can recover.
func GenerateEvents(seed uint64, length time.Duration, vms int) []Event {
	r := rand.New(rand.NewPCG(seed, 1))
	var all []Event
	for at := firstFault; at < length-lastFault; at += time.Duration(r.Int64N(int64(2 * meanGap))) {
		e := Event{At: at, For: maxFaultDuration/5 + time.Duration(r.Int64N(int64(maxFaultDuration*4/5))), Fault: Fault(r.IntN(int(faultCount))), VM: r.IntN(vms)}
		all = append(all, e)
		for n := 1; r.IntN(seriesOneIn) == 0 && n < vms; n++ {
			next := e
			next.At += time.Duration(n) * seriesGap
			next.VM = (e.VM + n) % vms
			all = append(all, next)
		}
	}
	slices.SortStableFunc(all, func(a, b Event) int { return int(a.At - b.At) })
	return all
}
