package ffqueue

import (
	"container/list"
	"time"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// Item is one call that waits for a slot or holds one.
type Item[T any] struct {
	// Customer and Class identify the flow of the item.
	Customer string
	Class    ffconfig.Class
	// Share is the customer's weight; a value below 1 counts as 1.
	Share int
	// Deadline is the time until which the caller waits for the answer.
	Deadline time.Time
	// Estimate is the expected service time.
	Estimate Estimate
	// Value is not used by the queue.
	Value T

	flow    *flow[T]
	element *list.Element
	running bool
}

// Queued reports whether the item waits for a slot.
func (it *Item[T]) Queued() bool { return it.element != nil }

func (it *Item[T]) share() float64 { return float64(max(it.Share, 1)) }
