package ffqueue

import (
	"container/list"
	"time"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// flowKey identifies a flow.
type flowKey struct {
	customer string
	class    ffconfig.Class
}

// flow is the FIFO queue of the calls of one customer and class.
type flow[T any] struct {
	key   flowKey
	share float64
	// startTag is the virtual start time of the next item, in seconds of slot time
	// per unit of share.
	startTag float64
	// pending is the sum of the mean service times of the waiting items.
	pending time.Duration
	items   list.List
	// heapIndex is the position in each heap.
	heapIndex [heapCount]int
}

func (f *flow[T]) head() *Item[T] {
	if e := f.items.Front(); e != nil {
		return e.Value.(*Item[T])
	}
	return nil
}

func (f *flow[T]) newest() *Item[T] { return f.items.Back().Value.(*Item[T]) }

// virtualDuration converts slot time to virtual time.
func (f *flow[T]) virtualDuration(cost time.Duration) float64 { return cost.Seconds() / f.share }

// backlog returns the number of waiting items per unit of share.
func (f *flow[T]) backlog() float64 { return float64(f.items.Len()) / f.share }
