package ffgate

import (
	"container/list"
	"time"
)

// ledger is what the records of one customer take, so that no customer can
// push out the records of another.
type ledger struct {
	records int
	bytes   int
	// evictable holds ended records that may go at any time, the oldest first.
	evictable list.List
	// bodies holds ended records with a reply, which may go by itself.
	bodies list.List
	// forgotUntil is the latest expiry of a record that went before its time.
	forgotUntil time.Time
}

// keep takes up a record that has ended.
func (l *ledger) keep(r *record) {
	if r.mayGo() {
		r.evictable = l.evictable.PushBack(r)
	}
	if r.reply != nil {
		r.body = l.bodies.PushBack(r)
	}
}

func (l *ledger) dropBody(r *record) {
	if r.body != nil {
		l.bodies.Remove(r.body)
		r.body = nil
	}
}

func (l *ledger) drop(r *record) {
	l.dropBody(r)
	if r.evictable != nil {
		l.evictable.Remove(r.evictable)
		r.evictable = nil
	}
}

func oldest(l *list.List) *record {
	if e := l.Front(); e != nil {
		return e.Value.(*record)
	}
	return nil
}
