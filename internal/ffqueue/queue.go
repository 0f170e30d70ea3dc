// Package ffqueue schedules the calls that wait for a slot of a target. It
// implements weighted fair queueing by customer and class, and reserves slots for
// short calls.
package ffqueue

import (
	"time"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// Decision is the result of Queue.Next.
type Decision int

// Decisions about the next item; DecisionWait means that no item can run now.
const (
	DecisionWait Decision = iota // wait
	DecisionRun                  // run
	DecisionLate                 // late
)

const classCount = 2

// minLongSlots is the number of slots for which waiting long calls take precedence
// over short ones.
const minLongSlots = 1

// Limits bound a queue.
type Limits struct {
	// Slots is the number of calls that may run at once.
	Slots int
	// LongSlots is the number of slots that long calls may hold; if it is Slots or
	// more, no slot is reserved for short calls.
	LongSlots int
	// Length is the number of calls that may wait.
	Length int
	// KeepUntilDeadline keeps calls until their deadline has passed, even if it cannot be met.
	KeepUntilDeadline bool
}

// Queue orders the calls that wait for a slot by start-time fair queueing. Each
// customer and class has a flow of its own. It is not safe for concurrent use.
type Queue[T any] struct {
	limits      Limits
	virtualTime [classCount]float64
	flows       map[flowKey]*flow[T]
	byStartTag  [classCount]flowHeap[T]
	byBacklog   flowHeap[T]
	queued      [classCount]int
	running     [classCount]int
	// pending and shares are sums over the flows with waiting items.
	pending [classCount]time.Duration
	shares  [classCount]float64
	demand  shortDemand
}

// New returns an empty queue.
func New[T any](limits Limits) *Queue[T] {
	q := &Queue[T]{limits: limits, flows: make(map[flowKey]*flow[T])}
	for c := range q.byStartTag {
		q.byStartTag[c] = flowHeap[T]{id: heapStartTag, compare: compareStartTag[T]}
	}
	q.byBacklog = flowHeap[T]{id: heapBacklog, compare: compareBacklog[T]}
	return q
}

// SetLimits replaces the limits; items that already run or wait are kept.
func (q *Queue[T]) SetLimits(limits Limits) { q.limits = limits }

// Limits returns the current limits.
func (q *Queue[T]) Limits() Limits { return q.limits }

// Queued returns the number of waiting items of a class.
func (q *Queue[T]) Queued(c ffconfig.Class) int { return q.queued[c] }

// Running returns the number of slots that a class holds.
func (q *Queue[T]) Running(c ffconfig.Class) int { return q.running[c] }

// InUse returns the number of slots in use.
func (q *Queue[T]) InUse() int { return q.running[ffconfig.ClassShort] + q.running[ffconfig.ClassLong] }

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return q.queued[ffconfig.ClassShort] + q.queued[ffconfig.ClassLong] }

// Push adds an item, or rejects it with KindDeadline if its deadline cannot be
// met. If the queue is full, Push evicts and returns the newest item of the flow
// with the largest backlog per share. It rejects the new item with KindFull if
// that item's flow would have at least as large a backlog.
func (q *Queue[T]) Push(now time.Time, it *Item[T]) (evicted *Item[T], err error) {
	if q.missesDeadline(it, now, q.EstimatedWait(it)) {
		return nil, &Error{Op: "push", Kind: KindDeadline, Err: merry.New("the deadline cannot be met")}
	}
	if q.Len() >= q.limits.Length {
		if evicted = q.evictionCandidate(it); evicted == nil {
			return nil, &Error{Op: "push", Kind: KindFull, Err: merry.Errorf("%d calls are already queued", q.Len())}
		}
		q.Remove(evicted)
	}
	q.append(it)
	return evicted, nil
}

// missesDeadline reports whether an item that gets its slot after wait is expected
// to miss its deadline. While other items of its class wait, it assumes a slow
// run, so that slots go to calls that will most likely finish in time. For the
// only item of its class it assumes a fast run.
func (q *Queue[T]) missesDeadline(it *Item[T], now time.Time, wait time.Duration) bool {
	if q.limits.KeepUntilDeadline {
		return !it.Deadline.After(now)
	}
	need := it.Estimate.P90
	if q.queued[it.Class] == 0 {
		need = it.Estimate.P10
	}
	return !it.Deadline.After(now.Add(wait + need))
}

// EstimatedWait returns the estimated time that an item pushed now would wait for its slot.
// It counts at most the work that precedes the item in fair order.
func (q *Queue[T]) EstimatedWait(it *Item[T]) time.Duration {
	var own time.Duration
	shares := q.shares[it.Class]
	if f, ok := q.flows[flowKey{it.Customer, it.Class}]; ok && f.items.Len() > 0 {
		own = f.pending
	} else {
		shares += it.share()
	}
	ahead := min(own.Seconds()*shares/it.share(), q.pending[it.Class].Seconds())
	return seconds(ahead / float64(q.expectedSlots(it.Class)))
}

// expectedSlots returns the number of slots assumed to serve a class; at least one.
func (q *Queue[T]) expectedSlots(c ffconfig.Class) int {
	if c == ffconfig.ClassLong {
		return max(q.limits.LongSlots, 1)
	}
	return max(q.limits.Slots-q.running[ffconfig.ClassLong], 1)
}

func (q *Queue[T]) hasFreeSlot(c ffconfig.Class) bool {
	if q.InUse() >= q.limits.Slots {
		return false
	}
	return c == ffconfig.ClassShort || q.running[c] < q.longSlotLimit()
}

// longSlotLimit returns the number of slots that long calls may hold now: what the
// demand of short calls leaves, but at least minLongSlots and at most LongSlots; all
// slots if none is reserved for short calls.
func (q *Queue[T]) longSlotLimit() int {
	if q.limits.LongSlots >= q.limits.Slots {
		return q.limits.Slots
	}
	left := max(q.limits.Slots-q.demand.slots(), minLongSlots)
	return min(left, q.limits.LongSlots)
}

// evictionCandidate returns the item to evict for a new one; nil if there is none.
func (q *Queue[T]) evictionCandidate(it *Item[T]) *Item[T] {
	longest := q.byBacklog.first()
	if longest == nil {
		return nil
	}
	queued := 0
	if f, ok := q.flows[flowKey{it.Customer, it.Class}]; ok {
		queued = f.items.Len()
	}
	if longest.backlog() <= float64(queued+1)/it.share() {
		return nil
	}
	return longest.newest()
}

// Next removes the next item from the queue. With DecisionRun the item holds a slot
// until Release; with DecisionLate its deadline can no longer be met and it holds
// no slot.
func (q *Queue[T]) Next(now time.Time) (*Item[T], Decision) {
	short := ffconfig.ClassShort
	q.demand.observe(now, q.running[short]+q.queued[short])
	f := q.selectFlow()
	if f == nil {
		return nil, DecisionWait
	}
	it := f.head()
	startTag, charge := f.startTag, f.virtualDuration(it.Estimate.Cost)
	q.Remove(it)
	if q.missesDeadline(it, now, 0) {
		return it, DecisionLate
	}
	q.virtualTime[it.Class] = max(q.virtualTime[it.Class], startTag)
	f.startTag = startTag + charge
	q.updateStartTag(f)
	q.running[it.Class]++
	it.running = true
	return it, DecisionRun
}

// selectFlow returns the flow whose head gets a free slot; nil if there is none.
// Short calls take precedence, except that minLongSlots slots go to waiting long
// calls first, so that these are not starved.
func (q *Queue[T]) selectFlow() *flow[T] {
	var short, long *flow[T]
	if q.hasFreeSlot(ffconfig.ClassShort) {
		short = q.byStartTag[ffconfig.ClassShort].first()
	}
	if q.hasFreeSlot(ffconfig.ClassLong) {
		long = q.byStartTag[ffconfig.ClassLong].first()
	}
	if long != nil && (short == nil || q.running[ffconfig.ClassLong] < minLongSlots) {
		return long
	}
	return short
}

// Remove removes an item that still waits from the queue.
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
		q.byBacklog.fix(f)
		return
	}
	q.byBacklog.remove(f)
	q.byStartTag[it.Class].remove(f)
	q.shares[it.Class] -= f.share
}

// Release frees the slot of a running item and replaces the estimated cost that was
// charged to its flow by the slot time that was used.
func (q *Queue[T]) Release(it *Item[T], used time.Duration) {
	if !it.running {
		return
	}
	it.running = false
	q.running[it.Class]--
	f := it.flow
	f.startTag += f.virtualDuration(max(used, minimumCost)) - f.virtualDuration(it.Estimate.Cost)
	q.updateStartTag(f)
	if q.InUse() == 0 && q.Len() == 0 {
		q.reset()
	}
}

// updateStartTag restores the heap order after a change of f.startTag.
func (q *Queue[T]) updateStartTag(f *flow[T]) {
	if f.items.Len() > 0 {
		q.byStartTag[f.key.class].fix(f)
	}
}

// reset discards all flows, so that usage before an idle period is not charged
// after it.
func (q *Queue[T]) reset() {
	clear(q.flows)
	clear(q.virtualTime[:])
}

func (q *Queue[T]) append(it *Item[T]) {
	f := q.flow(it)
	if f.items.Len() == 0 {
		f.share = it.share()
		f.startTag = max(f.startTag, q.virtualTime[it.Class])
		q.shares[it.Class] += f.share
	}
	it.flow = f
	it.element = f.items.PushBack(it)
	f.pending += it.Estimate.Mean
	q.pending[it.Class] += it.Estimate.Mean
	q.queued[it.Class]++
	if f.items.Len() == 1 {
		q.byStartTag[it.Class].add(f)
		q.byBacklog.add(f)
		return
	}
	q.byBacklog.fix(f)
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
