// Package ffqueue decides which waiting call gets the next slot of a target:
// weighted fair by customer and class, with slots kept for short work.
package ffqueue

import (
	"time"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// Decision tells what becomes of the item that is next in order.
type Decision int

// Decisions about the next item.
const (
	DecisionWait Decision = iota // wait
	DecisionRun                  // run
	DecisionLate                 // late
)

const classCount = 2

// keptForLong is the number of slots that long work gets before short work.
const keptForLong = 1

// Limits bound a queue.
type Limits struct {
	// Slots is the number of calls that run at once.
	Slots int
	// LongSlots bounds the slots that long work holds; with Slots or more, none is
	// kept for short work.
	LongSlots int
	// Length bounds the calls that wait.
	Length int
	// Patient keeps calls until their deadline has passed, even when it cannot be met.
	Patient bool
}

// Queue orders the calls that wait for a slot. It is start-time fair queueing
// over flows of one customer and class. It is not safe for concurrent use.
type Queue[T any] struct {
	limits  Limits
	virtual [classCount]float64
	flows   map[flowKey]*flow[T]
	starts  [classCount]flowHeap[T]
	fills   flowHeap[T]
	queued  [classCount]int
	running [classCount]int
	// pending and shares sum over the flows with items waiting.
	pending [classCount]time.Duration
	shares  [classCount]float64
	demand  demand
}

// New returns an empty queue.
func New[T any](limits Limits) *Queue[T] {
	q := &Queue[T]{limits: limits, flows: make(map[flowKey]*flow[T])}
	for c := range q.starts {
		q.starts[c] = flowHeap[T]{slot: heapStart, order: byStart[T]}
	}
	q.fills = flowHeap[T]{slot: heapFill, order: byFill[T]}
	return q
}

// SetLimits replaces the limits; items that run or wait already stay.
func (q *Queue[T]) SetLimits(limits Limits) { q.limits = limits }

// Limits returns the limits in force.
func (q *Queue[T]) Limits() Limits { return q.limits }

// Queued returns the number of items of a class that wait.
func (q *Queue[T]) Queued(c ffconfig.Class) int { return q.queued[c] }

// Running returns the number of slots that a class holds.
func (q *Queue[T]) Running(c ffconfig.Class) int { return q.running[c] }

// InUse returns the number of slots in use.
func (q *Queue[T]) InUse() int { return q.running[ffconfig.ClassShort] + q.running[ffconfig.ClassLong] }

// Len returns the number of items that wait.
func (q *Queue[T]) Len() int { return q.queued[ffconfig.ClassShort] + q.queued[ffconfig.ClassLong] }

// Push adds an item. It refuses one whose deadline cannot be met. When the queue
// is full, the newest item of the flow that holds most for its share gives way:
// Push returns it, or refuses the new item when that is the one.
func (q *Queue[T]) Push(now time.Time, it *Item[T]) (evicted *Item[T], err error) {
	if q.late(it, now, q.Wait(it)) {
		return nil, &Error{Op: "push", Kind: KindDeadline, Err: merry.New("the deadline cannot be met")}
	}
	if q.Len() >= q.limits.Length {
		if evicted = q.victim(it); evicted == nil {
			return nil, &Error{Op: "push", Kind: KindFull, Err: merry.Errorf("%d calls wait", q.Len())}
		}
		q.Remove(evicted)
	}
	q.append(it)
	return evicted, nil
}

// late reports whether an item that still waits for a time misses its deadline.
// While others of its class wait, the slot goes to those that will most likely be in time; the
// last one is given it unless even a fast run would be late.
func (q *Queue[T]) late(it *Item[T], now time.Time, wait time.Duration) bool {
	if q.limits.Patient {
		return !it.Deadline.After(now)
	}
	need := it.Estimate.Slow
	if q.queued[it.Class] == 0 {
		need = it.Estimate.Fast
	}
	return !it.Deadline.After(now.Add(wait + need))
}

// Wait estimates how long an item would wait for its slot if it came now. It
// counts no more than the work that is ahead in fair order.
func (q *Queue[T]) Wait(it *Item[T]) time.Duration {
	var own time.Duration
	shares := q.shares[it.Class]
	if f, ok := q.flows[flowKey{it.Customer, it.Class}]; ok && f.items.Len() > 0 {
		own = f.pending
	} else {
		shares += it.share()
	}
	ahead := min(own.Seconds()*shares/it.share(), q.pending[it.Class].Seconds())
	return seconds(ahead / float64(q.capacity(it.Class)))
}

// capacity is the number of slots that a class can count on; at least one.
func (q *Queue[T]) capacity(c ffconfig.Class) int {
	if c == ffconfig.ClassLong {
		return max(q.limits.LongSlots, 1)
	}
	return max(q.limits.Slots-q.running[ffconfig.ClassLong], 1)
}

func (q *Queue[T]) free(c ffconfig.Class) bool {
	if q.InUse() >= q.limits.Slots {
		return false
	}
	return c == ffconfig.ClassShort || q.running[c] < q.longSlots()
}

// longSlots is the number of slots that long work may hold now: at least the one
// that is kept for it, at most what its limit and the demand of short work leave.
func (q *Queue[T]) longSlots() int {
	if q.limits.LongSlots >= q.limits.Slots {
		return q.limits.Slots
	}
	left := max(q.limits.Slots-q.demand.slots(), keptForLong)
	return min(left, q.limits.LongSlots)
}

// victim returns the item that gives way to a new one; nil when none does.
func (q *Queue[T]) victim(it *Item[T]) *Item[T] {
	fullest := q.fills.first()
	if fullest == nil {
		return nil
	}
	waiting := 0
	if f, ok := q.flows[flowKey{it.Customer, it.Class}]; ok {
		waiting = f.items.Len()
	}
	if fullest.fill() <= float64(waiting+1)/it.share() {
		return nil
	}
	return fullest.newest()
}

// Next takes the next item from the queue. With DecisionRun the item holds a slot
// until Release; with DecisionLate its deadline can no longer be met and it
// holds none.
func (q *Queue[T]) Next(now time.Time) (*Item[T], Decision) {
	short := ffconfig.ClassShort
	q.demand.observe(now, q.running[short]+q.queued[short])
	f := q.choose()
	if f == nil {
		return nil, DecisionWait
	}
	it := f.head()
	start, price := f.start, f.price(it.Estimate.Cost)
	q.Remove(it)
	if q.late(it, now, 0) {
		return it, DecisionLate
	}
	q.virtual[it.Class] = max(q.virtual[it.Class], start)
	f.start = start + price
	q.fixStart(f)
	q.running[it.Class]++
	it.running = true
	return it, DecisionRun
}

// choose returns the flow whose head gets a free slot. Short work goes first, but
// long work that waits always has one slot, so that it is not starved.
func (q *Queue[T]) choose() *flow[T] {
	var short, long *flow[T]
	if q.free(ffconfig.ClassShort) {
		short = q.starts[ffconfig.ClassShort].first()
	}
	if q.free(ffconfig.ClassLong) {
		long = q.starts[ffconfig.ClassLong].first()
	}
	if long != nil && (short == nil || q.running[ffconfig.ClassLong] < keptForLong) {
		return long
	}
	return short
}

// Remove takes an item out of the queue before it got a slot.
func (q *Queue[T]) Remove(it *Item[T]) {
	if !it.Queued() {
		return
	}
	f := it.flow
	f.items.Remove(it.element)
	it.element = nil
	f.pending -= it.Estimate.Mean
	q.pending[it.Class] -= it.Estimate.Mean
	q.queued[it.Class]--
	if f.items.Len() > 0 {
		q.fills.fix(f)
		return
	}
	q.fills.remove(f)
	q.starts[it.Class].remove(f)
	q.shares[it.Class] -= f.share
}

// Release gives the slot of an item back and corrects what its flow was charged
// to the slot time that was used.
func (q *Queue[T]) Release(it *Item[T], used time.Duration) {
	if !it.running {
		return
	}
	it.running = false
	q.running[it.Class]--
	f := it.flow
	f.start += f.price(max(used, minimumCost)) - f.price(it.Estimate.Cost)
	q.fixStart(f)
	if q.InUse() == 0 && q.Len() == 0 {
		q.reset()
	}
}

func (q *Queue[T]) fixStart(f *flow[T]) {
	if f.items.Len() > 0 {
		q.starts[f.key.class].fix(f)
	}
}

// reset forgets every flow: an idle queue owes nothing to anyone.
func (q *Queue[T]) reset() {
	clear(q.flows)
	clear(q.virtual[:])
}

func (q *Queue[T]) append(it *Item[T]) {
	f := q.flow(it)
	if f.items.Len() == 0 {
		f.share = it.share()
		f.start = max(f.start, q.virtual[it.Class])
		q.shares[it.Class] += f.share
	}
	it.flow = f
	it.element = f.items.PushBack(it)
	f.pending += it.Estimate.Mean
	q.pending[it.Class] += it.Estimate.Mean
	q.queued[it.Class]++
	if f.items.Len() == 1 {
		q.starts[it.Class].add(f)
		q.fills.add(f)
		return
	}
	q.fills.fix(f)
}

func (q *Queue[T]) flow(it *Item[T]) *flow[T] {
	key := flowKey{it.Customer, it.Class}
	f, ok := q.flows[key]
	if !ok {
		f = &flow[T]{key: key}
		q.flows[key] = f
	}
	return f
}
