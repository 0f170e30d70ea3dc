package ffqueue_test

import (
	"math"
	"slices"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffqueue"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

type item = ffqueue.Item[int]

type flowKey struct {
	customer string
	class    ffconfig.Class
}

// referenceQueue implements the queue by scans over one list in order of arrival.
type referenceQueue struct {
	limits      ffqueue.Limits
	virtualTime map[ffconfig.Class]float64
	startTags   map[flowKey]float64
	waiting     []*item
	running     []*item
	samples     []demandSample
}

// demandSample is the number of short calls that ran or waited at a time.
type demandSample struct {
	at         time.Time
	shortCalls int
}

// longSlotLimit computes the moving average of short calls over all samples, with
// exponentially lower weights for older ones.
func (n *referenceQueue) longSlotLimit(now time.Time) int {
	short := func(o *item) bool { return o.Class == ffconfig.ClassShort }
	n.samples = append(n.samples, demandSample{now, n.count(n.waiting, short) + n.count(n.running, short)})
	mean := 0.0
	for i, l := range n.samples[1:] {
		decay := math.Exp(-l.at.Sub(n.samples[i].at).Seconds())
		mean = decay*mean + (1-decay)*float64(n.samples[i].shortCalls)
	}
	left := n.limits.Slots - int(math.Ceil(mean+math.Sqrt(mean)))
	return min(max(left, 1), n.limits.LongSlots)
}

func keyOf(it *item) flowKey { return flowKey{it.Customer, it.Class} }

func virtualDuration(it *item, d time.Duration) float64 { return d.Seconds() / float64(it.Share) }

func (n *referenceQueue) count(items []*item, match func(*item) bool) int {
	return len(slices.DeleteFunc(slices.Clone(items), func(it *item) bool { return !match(it) }))
}

func (n *referenceQueue) queued(it *item) int {
	return n.count(n.waiting, func(o *item) bool { return keyOf(o) == keyOf(it) })
}

func (n *referenceQueue) pending(match func(*item) bool) (sum time.Duration) {
	for _, o := range n.waiting {
		if match(o) {
			sum += o.Estimate.Mean
		}
	}
	return sum
}

func (n *referenceQueue) longRunning() int {
	return n.count(n.running, func(o *item) bool { return o.Class == ffconfig.ClassLong })
}

func (n *referenceQueue) estimatedWait(it *item) time.Duration {
	shares := make(map[string]float64)
	for _, o := range n.waiting {
		if o.Class == it.Class {
			shares[o.Customer] = float64(o.Share)
		}
	}
	shares[it.Customer] = float64(it.Share)
	sum := 0.0
	for _, s := range shares {
		sum += s
	}
	own := n.pending(func(o *item) bool { return keyOf(o) == keyOf(it) }).Seconds() * sum / float64(it.Share)
	all := n.pending(func(o *item) bool { return o.Class == it.Class }).Seconds()
	slots := max(n.limits.Slots-n.longRunning(), 1)
	if it.Class == ffconfig.ClassLong {
		slots = max(n.limits.LongSlots, 1)
	}
	return time.Duration(min(own, all) / float64(slots) * float64(time.Second))
}

func (n *referenceQueue) backlog(it *item) float64 { return float64(n.queued(it)) / float64(it.Share) }

// evictedBefore orders by backlog, then long before short calls, then by customer.
func (n *referenceQueue) evictedBefore(a, b *item) bool {
	if n.backlog(a) != n.backlog(b) {
		return n.backlog(a) > n.backlog(b)
	}
	if a.Class != b.Class {
		return a.Class > b.Class
	}
	return a.Customer < b.Customer
}

func (n *referenceQueue) missesDeadline(now time.Time, it *item, wait time.Duration) bool {
	need := it.Estimate.P90
	if n.count(n.waiting, func(o *item) bool { return o.Class == it.Class }) == 0 {
		need = it.Estimate.P10
	}
	return now.Add(wait+need).Compare(it.Deadline) >= 0
}

func (n *referenceQueue) push(now time.Time, it *item) (evicted *item, kind ffqueue.Kind) {
	if n.missesDeadline(now, it, n.estimatedWait(it)) {
		return nil, ffqueue.KindDeadline
	}
	if len(n.waiting) >= n.limits.Length {
		for _, o := range n.waiting {
			if evicted == nil || keyOf(o) == keyOf(evicted) || n.evictedBefore(o, evicted) {
				evicted = o
			}
		}
		if evicted == nil || n.backlog(evicted) <= float64(n.queued(it)+1)/float64(it.Share) {
			return nil, ffqueue.KindFull
		}
		n.remove(evicted)
	}
	if n.queued(it) == 0 {
		n.startTags[keyOf(it)] = max(n.startTags[keyOf(it)], n.virtualTime[it.Class])
	}
	n.waiting = append(n.waiting, it)
	return evicted, ffqueue.KindUnknown
}

func (n *referenceQueue) remove(it *item) {
	n.waiting = slices.DeleteFunc(n.waiting, func(o *item) bool { return o == it })
}

func (n *referenceQueue) first(c ffconfig.Class) (best *item) {
	for _, o := range n.waiting {
		if o.Class != c {
			continue
		}
		if best == nil || n.startTags[keyOf(o)] < n.startTags[keyOf(best)] ||
			n.startTags[keyOf(o)] == n.startTags[keyOf(best)] && o.Customer < best.Customer {
			best = o
		}
	}
	return best
}

func (n *referenceQueue) next(now time.Time) (*item, ffqueue.Decision) {
	limit := n.longSlotLimit(now)
	if len(n.running) >= n.limits.Slots {
		return nil, ffqueue.DecisionWait
	}
	it, long := n.first(ffconfig.ClassShort), n.first(ffconfig.ClassLong)
	if long != nil && n.longRunning() < limit {
		if it == nil || n.longRunning() == 0 {
			it = long
		}
	}
	if it == nil {
		return nil, ffqueue.DecisionWait
	}
	n.remove(it)
	if n.missesDeadline(now, it, 0) {
		return it, ffqueue.DecisionLate
	}
	n.virtualTime[it.Class] = max(n.virtualTime[it.Class], n.startTags[keyOf(it)])
	n.startTags[keyOf(it)] += virtualDuration(it, it.Estimate.Cost)
	n.running = append(n.running, it)
	return it, ffqueue.DecisionRun
}

func (n *referenceQueue) release(it *item, used time.Duration) {
	n.running = slices.DeleteFunc(n.running, func(o *item) bool { return o == it })
	n.startTags[keyOf(it)] += virtualDuration(it, max(used, 100*time.Microsecond)) - virtualDuration(it, it.Estimate.Cost)
	if len(n.running)+len(n.waiting) == 0 {
		clear(n.virtualTime)
		clear(n.startTags)
	}
}
