package ffgate

import (
	"container/list"
	"time"
)

// customerRecords counts and lists the records of one customer, so that no customer
// can evict the records of another.
type customerRecords struct {
	records int
	bytes   int
	// evictable holds ended records that may be evicted at any time, oldest first.
	evictable list.List
	// replies holds ended records with a reply, oldest first; a reply may be dropped
	// without its record.
	replies list.List
	// incompleteUntil is the latest expiry of a record that was evicted early or could
	// not be stored. Until then a missing record does not prove that a call was never
	// received.
	incompleteUntil time.Time
}

// addEnded adds the record of a call that has ended.
func (l *customerRecords) addEnded(r *record) {
	if r.canEvict() {
		r.evictableElem = l.evictable.PushBack(r)
	}
	if r.reply != nil {
		r.replyElem = l.replies.PushBack(r)
	}
}

func (l *customerRecords) removeReply(r *record) {
	if r.replyElem != nil {
		l.replies.Remove(r.replyElem)
		r.replyElem = nil
	}
}

func (l *customerRecords) remove(r *record) {
	l.removeReply(r)
	if r.evictableElem != nil {
		l.evictable.Remove(r.evictableElem)
		r.evictableElem = nil
	}
}

func oldest(l *list.List) *record {
	if e := l.Front(); e != nil {
		return e.Value.(*record)
	}
	return nil
}
