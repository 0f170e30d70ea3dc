package ffqueue_test

import (
	"math"
	"slices"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffqueue"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

type item = ffqueue.Item[int]

type naiveKey struct {
	customer string
	class    ffconfig.Class
}

// naive is the queue by scans over one list in order of arrival.
type naive struct {
	limits  ffqueue.Limits
	virtual map[ffconfig.Class]float64
	start   map[naiveKey]float64
	waiting []*item
	running []*item
	looks   []look
}

// look is the number of short items that run or wait at a time.
type look struct {
	at time.Time
	n  int
}

// longSlots takes the mean of short work over all looks, older ones weighing less.
func (n *naive) longSlots(now time.Time) int {
	short := func(o *item) bool { return o.Class == ffconfig.ClassShort }
	n.looks = append(n.looks, look{now, n.count(n.waiting, short) + n.count(n.running, short)})
	mean := 0.0
	for i, l := range n.looks[1:] {
		kept := math.Exp(-l.at.Sub(n.looks[i].at).Seconds())
		mean = kept*mean + (1-kept)*float64(n.looks[i].n)
	}
	left := n.limits.Slots - int(math.Ceil(mean+math.Sqrt(mean)))
	return min(max(left, 1), n.limits.LongSlots)
}

func keyOf(it *item) naiveKey { return naiveKey{it.Customer, it.Class} }

func price(it *item, d time.Duration) float64 { return d.Seconds() / float64(it.Share) }

func (n *naive) count(items []*item, match func(*item) bool) int {
	return len(slices.DeleteFunc(slices.Clone(items), func(it *item) bool { return !match(it) }))
}

func (n *naive) inFlow(it *item) int {
	return n.count(n.waiting, func(o *item) bool { return keyOf(o) == keyOf(it) })
}

func (n *naive) pending(match func(*item) bool) (sum time.Duration) {
	for _, o := range n.waiting {
		if match(o) {
			sum += o.Estimate.Mean
		}
	}
	return sum
}

func (n *naive) longRunning() int {
	return n.count(n.running, func(o *item) bool { return o.Class == ffconfig.ClassLong })
}

func (n *naive) wait(it *item) time.Duration {
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

func (n *naive) fill(it *item) float64 { return float64(n.inFlow(it)) / float64(it.Share) }

// fuller orders by fill, then long before short, then by name.
func (n *naive) fuller(a, b *item) bool {
	if n.fill(a) != n.fill(b) {
		return n.fill(a) > n.fill(b)
	}
	if a.Class != b.Class {
		return a.Class > b.Class
	}
	return a.Customer < b.Customer
}

func (n *naive) late(now time.Time, it *item, wait time.Duration) bool {
	need := it.Estimate.Slow
	if n.count(n.waiting, func(o *item) bool { return o.Class == it.Class }) == 0 {
		need = it.Estimate.Fast
	}
	return now.Add(wait+need).Compare(it.Deadline) >= 0
}

func (n *naive) push(now time.Time, it *item) (evicted *item, kind ffqueue.Kind) {
	if n.late(now, it, n.wait(it)) {
		return nil, ffqueue.KindDeadline
	}
	if len(n.waiting) >= n.limits.Length {
		for _, o := range n.waiting {
			if evicted == nil || keyOf(o) == keyOf(evicted) || n.fuller(o, evicted) {
				evicted = o
			}
		}
		if evicted == nil || n.fill(evicted) <= float64(n.inFlow(it)+1)/float64(it.Share) {
			return nil, ffqueue.KindFull
		}
		n.drop(evicted)
	}
	if n.inFlow(it) == 0 {
		n.start[keyOf(it)] = max(n.start[keyOf(it)], n.virtual[it.Class])
	}
	n.waiting = append(n.waiting, it)
	return evicted, ffqueue.KindUnknown
}

func (n *naive) drop(it *item) {
	n.waiting = slices.DeleteFunc(n.waiting, func(o *item) bool { return o == it })
}

func (n *naive) first(c ffconfig.Class) (best *item) {
	for _, o := range n.waiting {
		if o.Class != c {
			continue
		}
		if best == nil || n.start[keyOf(o)] < n.start[keyOf(best)] ||
			n.start[keyOf(o)] == n.start[keyOf(best)] && o.Customer < best.Customer {
			best = o
		}
	}
	return best
}

func (n *naive) next(now time.Time) (*item, ffqueue.Decision) {
	longSlots := n.longSlots(now)
	if len(n.running) >= n.limits.Slots {
		return nil, ffqueue.DecisionWait
	}
	it, long := n.first(ffconfig.ClassShort), n.first(ffconfig.ClassLong)
	if long != nil && n.longRunning() < longSlots {
		if it == nil || n.longRunning() == 0 {
			it = long
		}
	}
	if it == nil {
		return nil, ffqueue.DecisionWait
	}
	n.drop(it)
	if n.late(now, it, 0) {
		return it, ffqueue.DecisionLate
	}
	n.virtual[it.Class] = max(n.virtual[it.Class], n.start[keyOf(it)])
	n.start[keyOf(it)] += price(it, it.Estimate.Cost)
	n.running = append(n.running, it)
	return it, ffqueue.DecisionRun
}

func (n *naive) release(it *item, used time.Duration) {
	n.running = slices.DeleteFunc(n.running, func(o *item) bool { return o == it })
	n.start[keyOf(it)] += price(it, max(used, 100*time.Microsecond)) - price(it, it.Estimate.Cost)
	if len(n.running)+len(n.waiting) == 0 {
		clear(n.virtual)
		clear(n.start)
	}
}
