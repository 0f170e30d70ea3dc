package ffbalance

import (
	"time"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// busyWeight is the extra cost of a target with all slots busy over one with all
// slots free, as a fraction of its latency.
const busyWeight = 0.25

// minLatency is the lower bound of a latency in costs, in nanoseconds. It keeps
// targets comparable before any latency is known.
const minLatency = float64(100 * time.Microsecond)

// cost returns the expected duration of a call at the target, in nanoseconds:
// its latency, multiplied according to the busy slots and the queue per slot.
func (t *targetStats) cost(class ffconfig.Class, baseline float64, withLoad bool, now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	slots := float64(t.slotCount())
	backlog := float64(t.inFlight()) - slots
	if withLoad {
		backlog = t.backlog(class, now)
	}
	busy := max((backlog+1+slots)/slots, 0)
	latency := max(t.expectedLatency(class, baseline, now), minLatency)
	return latency * (1 + busyWeight*min(busy, 1) + max(busy-1, 0))
}
