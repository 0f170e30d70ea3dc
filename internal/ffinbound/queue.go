package ffinbound

import (
	"slices"
	"time"
)

// waiter is one call that waits for a slot or holds one.
type waiter struct {
	priority  int
	objective time.Time
	deadline  time.Time
	// expected is how long the target will likely take.
	expected time.Duration
	// granted receives true with a slot, and false when the call is refused.
	granted chan bool
}

// late reports whether an answer that starts now misses the objective.
func (w *waiter) late(now time.Time) bool { return now.Add(w.expected).After(w.objective) }

// hopeless reports whether an answer that starts now misses the deadline.
func (w *waiter) hopeless(now time.Time) bool { return now.Add(w.expected / 2).After(w.deadline) }

// queue holds the waiting calls, the next one first.
type queue struct{ waiting []*waiter }

// before orders by priority, then those that can still meet their objective,
// then by the objective's time.
func before(a, b *waiter, now time.Time) bool {
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	if late := a.late(now); late != b.late(now) {
		return !late
	}
	return a.objective.Before(b.objective)
}

func (q *queue) push(w *waiter) { q.waiting = append(q.waiting, w) }

// pop removes and returns the next call, or nil.
func (q *queue) pop(now time.Time) *waiter {
	best := -1
	for i, w := range q.waiting {
		if best < 0 || before(w, q.waiting[best], now) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	w := q.waiting[best]
	q.waiting = slices.Delete(q.waiting, best, best+1)
	return w
}

// remove takes w out and reports whether it still waited.
func (q *queue) remove(w *waiter) bool {
	i := slices.Index(q.waiting, w)
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// ahead returns the expected work of the waiting calls that go before w.
func (q *queue) ahead(w *waiter, now time.Time) (work time.Duration) {
	for _, o := range q.waiting {
		if before(o, w, now) {
			work += o.expected
		}
	}
	return work
}
