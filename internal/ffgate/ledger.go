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
	// bodies holds ended records that must stay, but whose replies may go.
	bodies list.List
	// forgotUntil is the latest expiry of a record that went before its time.
	forgotUntil time.Time
}

func (l *ledger) keep(r *record) {
	switch {
	case r.barred, r.hasToken && r.notRun():
		return
	case !r.durable || r.notRun():
		r.ownList = &l.evictable
	case r.reply != nil:
		r.ownList = &l.bodies
	default:
		return
	}
	r.own = r.ownList.PushBack(r)
}

func (l *ledger) drop(r *record) {
	if r.own != nil {
		r.ownList.Remove(r.own)
		r.own = nil
	}
}

func oldest(l *list.List) *record {
	if e := l.Front(); e != nil {
		return e.Value.(*record)
	}
	return nil
}
