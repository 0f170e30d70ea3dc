package ffqueue

import (
	"cmp"
	"container/heap"
)

// Heaps that a flow can be in at once.
const (
	heapStart = iota
	heapFill
	heapCount
)

// flowHeap orders the flows that have items waiting.
type flowHeap[T any] struct {
	flows []*flow[T]
	slot  int
	order func(a, b *flow[T]) int
}

func byStart[T any](a, b *flow[T]) int {
	return cmp.Or(cmp.Compare(a.start, b.start), cmp.Compare(a.key.customer, b.key.customer))
}

func byFill[T any](a, b *flow[T]) int {
	return cmp.Or(
		cmp.Compare(b.fill(), a.fill()),
		cmp.Compare(b.key.class, a.key.class),
		cmp.Compare(a.key.customer, b.key.customer),
	)
}

// Len implements heap.Interface.
func (h *flowHeap[T]) Len() int { return len(h.flows) }

// Less implements heap.Interface.
func (h *flowHeap[T]) Less(i, j int) bool { return h.order(h.flows[i], h.flows[j]) < 0 }

// Swap implements heap.Interface.
func (h *flowHeap[T]) Swap(i, j int) {
	h.flows[i], h.flows[j] = h.flows[j], h.flows[i]
	h.flows[i].index[h.slot] = i
	h.flows[j].index[h.slot] = j
}

// Push implements heap.Interface.
func (h *flowHeap[T]) Push(x any) {
	f := x.(*flow[T])
	f.index[h.slot] = len(h.flows)
	h.flows = append(h.flows, f)
}

// Pop implements heap.Interface.
func (h *flowHeap[T]) Pop() any {
	last := len(h.flows) - 1
	f := h.flows[last]
	h.flows[last] = nil
	h.flows = h.flows[:last]
	return f
}

func (h *flowHeap[T]) first() *flow[T] {
	if len(h.flows) == 0 {
		return nil
	}
	return h.flows[0]
}

func (h *flowHeap[T]) add(f *flow[T])    { heap.Push(h, f) }
func (h *flowHeap[T]) remove(f *flow[T]) { heap.Remove(h, f.index[h.slot]) }
func (h *flowHeap[T]) fix(f *flow[T])    { heap.Fix(h, f.index[h.slot]) }
