package ffgate

import (
	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/internal/ffqueue"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// Switches turn single policies off, to compare with and without them.
type Switches struct {
	// OneQueue lets all calls wait in one queue, first in, first out.
	OneQueue bool
	// NoReserve lets long work hold every slot.
	NoReserve bool
	// NoRefusal keeps calls whose deadline cannot be met until it has passed.
	NoRefusal bool
}

// item returns what the queue knows of a call.
func (s Switches) item(x *execution, c *ffcall.Call, class ffconfig.Class, e ffqueue.Estimate) *ffqueue.Item[*execution] {
	it := &ffqueue.Item[*execution]{
		Customer: c.Customer,
		Class:    class,
		Share:    c.Share,
		Deadline: c.Deadline,
		Estimate: e,
		Value:    x,
	}
	if s.OneQueue {
		it.Customer = ""
		it.Class = ffconfig.ClassShort
		it.Share = 1
	}
	return it
}

// limits returns the bounds of the queue of a service with some slots in use.
func (s Switches) limits(v ffconfig.Service, slots int) ffqueue.Limits {
	l := ffqueue.Limits{Slots: slots, LongSlots: min(v.LongSlots, slots-1), Length: v.QueueLength, Patient: s.NoRefusal}
	if s.NoReserve {
		l.LongSlots = slots
	}
	return l
}
