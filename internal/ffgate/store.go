package ffgate

import (
	"container/heap"
	"time"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/internal/fftoken"
)

// Times for which an outcome is remembered after the call and its deadline have ended.
const (
	repeatableMemory = 10 * time.Second
	durableMemory    = fftoken.Life + time.Minute
)

// store holds the records of one gate. No customer holds more than is free, in
// records and in bytes, so one that floods leaves half to the others. It is not
// safe for concurrent use.
type store struct {
	maxRecords int
	maxBytes   int
	records    int
	bytes      int
	byCall     map[callKey]*record
	byToken    map[fftoken.ID]*record
	ledgers    map[string]*ledger
	expiries   expiries
}

func newStore(maxRecords, maxBytes int) *store {
	return &store{
		maxRecords: maxRecords,
		maxBytes:   maxBytes,
		byCall:     make(map[callKey]*record),
		byToken:    make(map[fftoken.ID]*record),
		ledgers:    make(map[string]*ledger),
	}
}

// find returns the record that answers the attempt; nil when there is none. It
// refuses an attempt that repeats an identifier with a different request.
func (s *store) find(a attempt) (*record, *ffcall.Error) {
	if r, ok := s.byCall[a.call]; ok {
		if r.digest != a.digest && r.digest != 0 {
			return nil, &ffcall.Error{Op: "find", Kind: ffcall.KindCrossed, Err: merry.New("the call identifier was used for another request")}
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
		return nil, ffcall.Refuse("find", ffcall.KindToken, merry.New("the token was used for another request"))
	}
	if r.answers(a.call) {
		s.byCall[a.call] = r
	} else {
		s.lose(a)
	}
	return r, nil
}

// refuse remembers a refusal, so that neither a late copy of the attempt nor
// another attempt with its token runs, and returns what may be said of it.
func (s *store) refuse(now time.Time, a attempt, refusal *ffcall.Error) *ffcall.Error {
	a.durable = false
	if refusal.Kind == ffcall.KindToken {
		a.hasToken = false // the token starts no call anyway
	}
	r, full := s.begin(a)
	if full != nil {
		return a.unremembered(refusal)
	}
	s.finish(now, r, nil, refusal)
	return refusal
}

// unremembered returns a refusal that is not recorded: another attempt with the
// same token may still run, so that nothing is known of the token's call.
func (a attempt) unremembered(refusal *ffcall.Error) *ffcall.Error {
	if !a.hasToken {
		return refusal
	}
	unproved := *refusal
	unproved.Outcome = ffcall.OutcomeUnknown
	return &unproved
}

// lose notes that an attempt which came is not recorded.
func (s *store) lose(a attempt) {
	l := s.ledger(a.call.customer)
	l.forgotUntil = later(l.forgotUntil, a.deadline.Add(repeatableMemory))
}

// begin records an attempt before the target may see it.
func (s *store) begin(a attempt) (*record, *ffcall.Error) {
	l := s.ledger(a.call.customer)
	for l.records+1 > s.maxRecords-s.records-1 {
		old := oldest(&l.evictable)
		if old == nil {
			s.lose(a)
			return nil, a.unremembered(ffcall.Refuse("begin", ffcall.KindOverload, merry.Errorf("%d outcomes of the customer are remembered", l.records)))
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

// finish records what became of a call. A refusal spends the token too: an
// earlier attempt with it may still come, after the caller was told that the
// call did not run.
func (s *store) finish(now time.Time, r *record, reply *ffcall.Reply, refusal *ffcall.Error) {
	l := s.ledger(r.call.customer)
	r.refusal = refusal
	s.keepReply(l, r, reply)
	memory := repeatableMemory
	if r.durable || r.barred || r.hasToken {
		memory = durableMemory
	}
	r.expireAt = later(now, r.deadline).Add(memory)
	heap.Push(&s.expiries, r)
	l.keep(r)
	close(r.done)
}

// keepReply stores a reply when the customer's part of the memory has room.
func (s *store) keepReply(l *ledger, r *record, reply *ffcall.Reply) {
	size := replySize(reply)
	for l.bytes+size > s.maxBytes-s.bytes-size {
		old := oldest(&l.bodies)
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

func (s *store) dropReply(l *ledger, r *record) {
	s.bytes -= r.size
	l.bytes -= r.size
	r.reply = nil
	r.size = 0
	l.dropBody(r)
}

// evict forgets an ended record before its time.
func (s *store) evict(l *ledger, r *record) {
	l.forgotUntil = later(l.forgotUntil, r.expireAt)
	heap.Remove(&s.expiries, r.index)
	s.forget(l, r)
}

func (s *store) forget(l *ledger, r *record) {
	s.dropReply(l, r)
	l.drop(r)
	for _, k := range r.calls {
		delete(s.byCall, k)
	}
	if s.byToken[r.token] == r {
		delete(s.byToken, r.token)
	}
	s.records--
	l.records--
}

// sweep forgets the records that have expired.
func (s *store) sweep(now time.Time) {
	for len(s.expiries) > 0 && !now.Before(s.expiries[0].expireAt) {
		r := heap.Pop(&s.expiries).(*record)
		l := s.ledger(r.call.customer)
		s.forget(l, r)
		if l.records == 0 && now.After(l.forgotUntil) {
			delete(s.ledgers, r.call.customer)
		}
	}
}

// bar records that a call which never came must not run. It reports false when
// the gate cannot tell whether the call came.
func (s *store) bar(now time.Time, k callKey, refusal *ffcall.Error) bool {
	if now.Before(s.ledger(k.customer).forgotUntil) {
		return false
	}
	r, err := s.begin(attempt{call: k, barred: true})
	if err != nil {
		return false
	}
	s.finish(now, r, nil, refusal)
	return true
}

func (s *store) ledger(customer string) *ledger {
	l, ok := s.ledgers[customer]
	if !ok {
		l = &ledger{}
		s.ledgers[customer] = l
	}
	return l
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
