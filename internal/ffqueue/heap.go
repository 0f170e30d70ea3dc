package ffqueue

import (
	"cmp"
	"container/heap"
)

// Indexes into flow.heapIndex: a flow with waiting items is in a heap of each kind.
const (
	heapStartTag = iota
	heapBacklog
	heapCount
)

// flowHeap is a heap of the flows that have waiting items.
type flowHeap[T any] struct {
	flows   []*flow[T]
	id      int
	compare func(a, b *flow[T]) int
}

func compareStartTag[T any](a, b *flow[T]) int {
	return cmp.Or(cmp.Compare(a.startTag, b.startTag), cmp.Compare(a.key.customer, b.key.customer))
}

// compareBacklog orders by descending backlog, then long before short calls.
func compareBacklog[T any](a, b *flow[T]) int {
	return cmp.Or(
		cmp.Compare(b.backlog(), a.backlog()),
		cmp.Compare(b.key.class, a.key.class),
		cmp.Compare(a.key.customer, b.key.customer),
	)
}

// Len implements heap.Interface.
func (h *flowHeap[T]) Len() int { return len(h.flows) }

// Less implements heap.Interface.
func (h *flowHeap[T]) Less(i, j int) bool { return h.compare(h.flows[i], h.flows[j]) < 0 }

// Swap implements heap.Interface.
func (h *flowHeap[T]) Swap(i, j int) {
	h.flows[i], h.flows[j] = h.flows[j], h.flows[i]
	h.flows[i].heapIndex[h.id] = i
	h.flows[j].heapIndex[h.id] = j
}

// Push implements heap.Interface.
func (h *flowHeap[T]) Push(x any) {
	f := x.(*flow[T])
	f.heapIndex[h.id] = len(h.flows)
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
func (h *flowHeap[T]) remove(f *flow[T]) { heap.Remove(h, f.heapIndex[h.id]) }
func (h *flowHeap[T]) fix(f *flow[T])    { heap.Fix(h, f.heapIndex[h.id]) }
