package ffbalance

import (
	"time"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// idleWeight is how much a target with all slots busy costs above one with all
// slots free, as a share of its latency.
const idleWeight = 0.25

// minLatency keeps targets comparable before anything is known, in nanoseconds.
const minLatency = float64(100 * time.Microsecond)

// cost returns what a call is expected to take at the target, in nanoseconds:
// its latency, stretched by the queue for each slot.
func (f *facts) cost(class ffconfig.Class, usual float64, withLoad bool, now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	slots := float64(f.knownSlots())
	backlog := float64(f.inFlight()) - slots
	if withLoad {
		backlog = f.backlog(class, now)
	}
	busy := max((backlog+1+slots)/slots, 0)
	latency := max(f.expectedLatency(class, usual, now), minLatency)
	return latency * (1 + idleWeight*min(busy, 1) + max(busy-1, 0))
}
