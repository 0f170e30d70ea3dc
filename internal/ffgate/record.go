package ffgate

import (
	"container/list"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/internal/fftoken"
)

// maxCalls bounds the attempts that one record answers by their identifiers.
const maxCalls = 16

// attempt is one call as the records see it.
type attempt struct {
	call     callKey
	route    string
	token    fftoken.ID
	hasToken bool
	// digest is the hash of the request.
	digest uint64
	// durable tells that the call must not run twice.
	durable bool
	// barred tells that the call never came and must not run when it does.
	barred   bool
	deadline time.Time
}

// callKey names an attempt; identifiers of different customers never meet.
type callKey struct {
	customer string
	id       string
}

// record is what the gate remembers of one call. It is made before the target
// sees the call.
type record struct {
	attempt
	// calls names every attempt that this record answers.
	calls []callKey
	// done is closed when the call has ended.
	done chan struct{}
	// reply is nil when the call got none, or when it was too large to keep.
	reply *ffcall.Reply
	// refusal is set when the call got no answer from the target.
	refusal *ffcall.Error
	// expireAt is set when the call has ended.
	expireAt time.Time
	size     int
	index    int
	// evictable and body are the places in the lists of the customer's ledger;
	// nil when in none.
	evictable *list.Element
	body      *list.Element
}

// over reports whether the call has ended.
func (r *record) over() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

func (r *record) notRun() bool { return r.refusal != nil && r.refusal.Outcome == ffcall.OutcomeNotRun }

// mayGo reports whether an ended record may be forgotten before its time. One that
// bars a call, or spends a token, must stay.
func (r *record) mayGo() bool {
	return !r.barred && (!r.durable || r.notRun()) && !r.hasToken
}

// answers adds an attempt that this record answers.
func (r *record) answers(k callKey) bool {
	if len(r.calls) >= maxCalls {
		return false
	}
	r.calls = append(r.calls, k)
	return true
}

// replySize is the memory that a stored reply takes, in bytes.
func replySize(reply *ffcall.Reply) int {
	if reply == nil {
		return 0
	}
	size := len(reply.Body)
	for name, values := range reply.Header {
		size += len(name)
		for _, v := range values {
			size += len(v)
		}
	}
	return size
}

// expiries orders ended records by expiry.
type expiries []*record

// Len implements heap.Interface.
func (e expiries) Len() int { return len(e) }

// Less implements heap.Interface.
func (e expiries) Less(i, j int) bool { return e[i].expireAt.Before(e[j].expireAt) }

// Swap implements heap.Interface.
func (e expiries) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].index = i
	e[j].index = j
}

// Push implements heap.Interface.
func (e *expiries) Push(x any) {
	r := x.(*record)
	r.index = len(*e)
	*e = append(*e, r)
}

// Pop implements heap.Interface.
func (e *expiries) Pop() any {
	last := len(*e) - 1
	r := (*e)[last]
	(*e)[last] = nil
	*e = (*e)[:last]
	return r
}
