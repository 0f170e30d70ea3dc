package ffinbound

import (
	"slices"
	"time"
)

// waiter is a call that waits for a slot, or for the transfer of its body.
type waiter struct {
	class    uint16
	priority int
	// owed reports whether the call goes first whatever its priority, as its class is
	// served too seldom.
	owed      bool
	objective time.Time
	deadline  time.Time
	// expected is the time that the call probably takes once it is granted.
	expected time.Duration
	// usual is the time within which most such calls end.
	usual time.Duration
	// granted receives true when the call is granted, and false when it is refused.
	granted chan bool
}

// missesObjective reports whether a call granted now would probably miss its objective.
func (w *waiter) missesObjective(now time.Time) bool { return now.Add(w.expected).After(w.objective) }

// risksObjective reports whether a call granted now might well miss its objective.
func (w *waiter) risksObjective(now time.Time) bool { return now.Add(w.usual).After(w.objective) }

// missesDeadline reports whether a call granted now would miss its deadline even if it
// took only half of the expected time.
func (w *waiter) missesDeadline(now time.Time) bool { return now.Add(w.expected / 2).After(w.deadline) }

// queue holds the waiting calls in no particular order.
type queue struct{ waiting []*waiter }

// before reports whether a is granted before b: the one whose class is served too seldom,
// then by priority, then the one that can still meet its objective, then by the time of the
// objective.
func before(a, b *waiter, now time.Time) bool {
	if a.owed != b.owed {
		return a.owed
	}
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	if missed := a.missesObjective(now); missed != b.missesObjective(now) {
		return !missed
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

// countOf returns the number of waiting calls of a class.
func (q *queue) countOf(class uint16) int {
	n := 0
	for _, w := range q.waiting {
		if w.class == class {
			n++
		}
	}
	return n
}

// remove removes w and reports whether it was still queued.
func (q *queue) remove(w *waiter) bool {
	i := slices.Index(q.waiting, w)
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// ahead returns the number and the total expected time of the calls that are granted
// before w.
func (q *queue) ahead(w *waiter, now time.Time) (calls int, work time.Duration) {
	for _, other := range q.waiting {
		if before(other, w, now) {
			calls++
			work += other.expected
		}
	}
	return calls, work
}
