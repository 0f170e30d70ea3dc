package ffgate

import (
	"container/list"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/internal/fftoken"
)

// maxCallsPerRecord bounds the attempts whose identifiers refer to one record.
const maxCallsPerRecord = 16

// attempt holds the fields of a call that its record needs.
type attempt struct {
	call     callKey
	route    string
	token    fftoken.ID
	hasToken bool
	// digest is the hash of the request; zero if the request was never received.
	digest uint64
	// atMostOnce is set for a call that must not run twice.
	atMostOnce bool
	// blocked is set for a call that was never received and must not run if it
	// arrives later.
	blocked  bool
	deadline time.Time
}

// callKey identifies an attempt; identifiers are scoped to a customer.
type callKey struct {
	customer string
	id       string
}

// record holds the state and the outcome of one call. It is created before the call
// is sent to the target.
type record struct {
	attempt
	// calls identifies every attempt that this record answers.
	calls []callKey
	// done is closed when the call has ended.
	done chan struct{}
	// reply is nil if the call got none, or if it was not stored or was dropped for
	// lack of memory.
	reply *ffcall.Reply
	// refusal is set if the call got no answer from the target.
	refusal *ffcall.Error
	// expireAt is set when the call has ended.
	expireAt time.Time
	// size is the memory that the stored reply takes, in bytes.
	size int
	// expiryIndex is the position in store.expiries.
	expiryIndex int
	// evictableElem and replyElem are the elements in the lists of customerRecords;
	// nil if the record is not in the list.
	evictableElem *list.Element
	replyElem     *list.Element
}

// ended reports whether the call has ended.
func (r *record) ended() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

func (r *record) notRun() bool { return r.refusal != nil && r.refusal.Outcome == ffcall.OutcomeNotRun }

// canEvict reports whether an ended record may be removed before it expires. It must
// be kept if it blocks a call, marks a token as used, or belongs to a call that must
// not run twice and may have run.
func (r *record) canEvict() bool {
	return !r.blocked && (!r.atMostOnce || r.notRun()) && !r.hasToken
}

// addCall adds an attempt that this record answers. It returns false if there are
// too many.
func (r *record) addCall(k callKey) bool {
	if len(r.calls) >= maxCallsPerRecord {
		return false
	}
	r.calls = append(r.calls, k)
	return true
}

// replySize returns the memory that a stored reply takes, in bytes.
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
	e[i].expiryIndex = i
	e[j].expiryIndex = j
}

// Push implements heap.Interface.
func (e *expiries) Push(x any) {
	r := x.(*record)
	r.expiryIndex = len(*e)
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
