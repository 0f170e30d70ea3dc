package ffqueue

import (
	"container/list"
	"time"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// flowKey names the flow of one customer and class.
type flowKey struct {
	customer string
	class    ffconfig.Class
}

// flow is the queue of one customer and class, in order of arrival.
type flow[T any] struct {
	key   flowKey
	share float64
	// start is the virtual time at which the next item may start, in seconds of
	// slot time for each unit of share.
	start float64
	// pending is the sum of the service times of the items that wait.
	pending time.Duration
	items   list.List
	index   [heapCount]int
}

func (f *flow[T]) head() *Item[T] {
	if e := f.items.Front(); e != nil {
		return e.Value.(*Item[T])
	}
	return nil
}

func (f *flow[T]) newest() *Item[T] { return f.items.Back().Value.(*Item[T]) }

func (f *flow[T]) price(cost time.Duration) float64 { return cost.Seconds() / f.share }

// fill is the number of waiting items for each unit of share.
func (f *flow[T]) fill() float64 { return float64(f.items.Len()) / f.share }
