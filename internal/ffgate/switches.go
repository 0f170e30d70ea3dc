package ffgate

import (
	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/internal/ffqueue"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// Switches disables individual policies, to compare results with and without them.
type Switches struct {
	// NoFairQueue replaces fair queueing by a single FIFO queue.
	NoFairQueue bool
	// NoReservedSlots allows long calls to use every slot.
	NoReservedSlots bool
	// NoDeadlineRefusal keeps calls whose deadline cannot be met until it has passed, instead
	// of refusing them early.
	NoDeadlineRefusal bool
}

// newItem returns the queue item of a call.
func (s Switches) newItem(x *execution, c *ffcall.Call, class ffconfig.Class, e ffqueue.Estimate) *ffqueue.Item[*execution] {
	it := &ffqueue.Item[*execution]{
		Customer: c.Customer,
		Class:    class,
		Share:    c.Share,
		Deadline: c.Deadline,
		Estimate: e,
		Value:    x,
	}
	if s.NoFairQueue {
		it.Customer = ""
		it.Class = ffconfig.ClassShort
		it.Share = 1
	}
	return it
}

// limits returns the queue limits of a service with the given number of usable
// slots.
func (s Switches) limits(v ffconfig.Service, slots int) ffqueue.Limits {
	l := ffqueue.Limits{Slots: slots, LongSlots: min(v.LongSlots, slots-1), Length: v.QueueLength, KeepUntilDeadline: s.NoDeadlineRefusal}
	if s.NoReservedSlots {
		l.LongSlots = slots
	}
	return l
}
