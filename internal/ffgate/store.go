package ffgate

import (
	"container/heap"
	"time"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/internal/fftoken"
)

// Retention of an outcome, counted from the end of the call or its deadline,
// whichever is later. atMostOnceRetention exceeds the validity of a token, so that a
// call started by a token still has its record when the token expires.
const (
	baseRetention       = 10 * time.Second
	atMostOnceRetention = fftoken.Lifetime + time.Minute
)

// store holds the records of one gate. No customer may use more records or bytes
// than remain free, so that a single customer cannot use more than half. It is
// not safe for concurrent use.
type store struct {
	maxRecords int
	maxBytes   int
	records    int
	bytes      int
	byCall     map[callKey]*record
	byToken    map[fftoken.ID]*record
	byCustomer map[string]*customerRecords
	expiries   expiries
}

func newStore(maxRecords, maxBytes int) *store {
	return &store{
		maxRecords: maxRecords,
		maxBytes:   maxBytes,
		byCall:     make(map[callKey]*record),
		byToken:    make(map[fftoken.ID]*record),
		byCustomer: make(map[string]*customerRecords),
	}
}

// find returns the record that answers the attempt; nil if there is none. It
// refuses an attempt that reuses an identifier or a token for a different request.
func (s *store) find(a attempt) (*record, *ffcall.Error) {
	if r, ok := s.byCall[a.call]; ok {
		if r.digest != a.digest && r.digest != 0 {
			return nil, &ffcall.Error{Op: "find", Kind: ffcall.KindMismatched, Err: merry.New("the call identifier was already used for a different request")}
		}
		return r, nil
	}
	if !a.hasToken {
		return nil, nil
	}
	r, ok := s.byToken[a.token]
	if !ok {
		return nil, nil
	}
	if r.digest != a.digest {
		return nil, ffcall.Refuse("find", ffcall.KindToken, merry.New("the token was already used for a different request"))
	}
	if r.addCall(a.call) {
		s.byCall[a.call] = r
	} else {
		s.markIncomplete(a)
	}
	return r, nil
}

// recordRefusal records a refusal, so that neither a delayed copy of the attempt nor
// another attempt with the same token runs. It returns the refusal to report.
func (s *store) recordRefusal(now time.Time, a attempt, refusal *ffcall.Error) *ffcall.Error {
	a.atMostOnce = false
	if refusal.Kind == ffcall.KindToken {
		a.hasToken = false // an invalid token cannot start a call anyway
	}
	r, beginErr := s.begin(a)
	if beginErr != nil {
		return a.unrecordedRefusal(refusal)
	}
	s.finish(now, r, nil, refusal)
	return refusal
}

// unrecordedRefusal returns the refusal to report if it could not be recorded. With
// a token the outcome is unknown, because another attempt with the same token may
// still run.
func (a attempt) unrecordedRefusal(refusal *ffcall.Error) *ffcall.Error {
	if !a.hasToken {
		return refusal
	}
	uncertain := *refusal
	uncertain.Outcome = ffcall.OutcomeUnknown
	return &uncertain
}

// markIncomplete marks that an attempt was received but not recorded.
func (s *store) markIncomplete(a attempt) {
	l := s.recordsOf(a.call.customer)
	l.incompleteUntil = later(l.incompleteUntil, a.deadline.Add(baseRetention))
}

// begin records an attempt before it may be sent to the target. If necessary, it
// evicts other records of the customer.
func (s *store) begin(a attempt) (*record, *ffcall.Error) {
	l := s.recordsOf(a.call.customer)
	for l.records+1 > s.maxRecords-s.records-1 {
		old := oldest(&l.evictable)
		if old == nil {
			s.markIncomplete(a)
			return nil, a.unrecordedRefusal(ffcall.Refuse("begin", ffcall.KindOverload, merry.Errorf("%d outcomes of the customer are already stored", l.records)))
		}
		s.evict(l, old)
	}
	r := &record{attempt: a, done: make(chan struct{}), calls: []callKey{a.call}}
	s.byCall[a.call] = r
	if a.hasToken {
		s.byToken[a.token] = r
	}
	s.records++
	l.records++
	return r, nil
}

// finish records the result of a call. A refusal uses up the token too: an earlier
// attempt with the same token may still arrive after the caller was told that the
// call did not run.
func (s *store) finish(now time.Time, r *record, reply *ffcall.Reply, refusal *ffcall.Error) {
	l := s.recordsOf(r.call.customer)
	r.refusal = refusal
	s.storeReply(l, r, reply)
	retention := baseRetention
	if r.atMostOnce || r.blocked || r.hasToken {
		retention = atMostOnceRetention
	}
	r.expireAt = later(now, r.deadline).Add(retention)
	heap.Push(&s.expiries, r)
	l.addEnded(r)
	close(r.done)
}

// storeReply stores a reply if it fits into the customer's part of the memory. If
// necessary, it drops older replies of the customer.
func (s *store) storeReply(l *customerRecords, r *record, reply *ffcall.Reply) {
	size := replySize(reply)
	for l.bytes+size > s.maxBytes-s.bytes-size {
		old := oldest(&l.replies)
		if old == nil {
			return
		}
		s.dropReply(l, old)
	}
	r.reply = reply
	r.size = size
	s.bytes += size
	l.bytes += size
}

func (s *store) dropReply(l *customerRecords, r *record) {
	s.bytes -= r.size
	l.bytes -= r.size
	r.reply = nil
	r.size = 0
	l.removeReply(r)
}

// evict removes an ended record before it expires.
func (s *store) evict(l *customerRecords, r *record) {
	l.incompleteUntil = later(l.incompleteUntil, r.expireAt)
	heap.Remove(&s.expiries, r.expiryIndex)
	s.remove(l, r)
}

func (s *store) remove(l *customerRecords, r *record) {
	s.dropReply(l, r)
	l.remove(r)
	for _, k := range r.calls {
		delete(s.byCall, k)
	}
	if s.byToken[r.token] == r {
		delete(s.byToken, r.token)
	}
	s.records--
	l.records--
}

// sweep removes the records that have expired.
func (s *store) sweep(now time.Time) {
	for len(s.expiries) > 0 && !now.Before(s.expiries[0].expireAt) {
		r := heap.Pop(&s.expiries).(*record)
		l := s.recordsOf(r.call.customer)
		s.remove(l, r)
		if l.records == 0 && now.After(l.incompleteUntil) {
			delete(s.byCustomer, r.call.customer)
		}
	}
}

// block records that a call which was never received must not run. It returns false
// if the gate cannot tell whether the call was received, or cannot store the record.
func (s *store) block(now time.Time, k callKey, refusal *ffcall.Error) bool {
	if now.Before(s.recordsOf(k.customer).incompleteUntil) {
		return false
	}
	r, err := s.begin(attempt{call: k, blocked: true})
	if err != nil {
		return false
	}
	s.finish(now, r, nil, refusal)
	return true
}

func (s *store) recordsOf(customer string) *customerRecords {
	l, ok := s.byCustomer[customer]
	if !ok {
		l = &customerRecords{}
		s.byCustomer[customer] = l
	}
	return l
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
