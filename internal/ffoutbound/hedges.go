package ffoutbound

import (
	"sync"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffhedge"
	"fireflyfall.dev/fireflyfall/internal/ffmesh"
)

// maxHedgeClasses is the number of classes of calls from which their times are learned anew.
const maxHedgeClasses = 4096

// Hedges keeps the copies of slow calls within the limit of the operators. The zero value and
// nil have no limit.
type Hedges struct {
	mu      sync.Mutex
	limit   ffhedge.Limit
	times   map[uint16]ffhedge.Times
	credits map[string]ffhedge.Credit
	totals  HedgeTotals
}

// HedgeTotals counts the work that this entry's calls and their copies cost.
type HedgeTotals struct {
	Copies              int
	CallWork, ExtraWork time.Duration
}

// SetLimit sets the limit.
func (h *Hedges) SetLimit(l ffhedge.Limit) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limit = l
}

// Limit returns the limit.
func (h *Hedges) Limit() ffhedge.Limit {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.limit
}

// Totals returns what calls and copies have cost so far.
func (h *Hedges) Totals() HedgeTotals {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.totals
}

// recordCall records a call that the entry received. One that a copied run made costs extra
// work, by the probability of that.
func (h *Hedges) recordCall(c *ffmesh.Call) {
	if h == nil || c.RetryShare == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.spend(c, time.Duration(c.RetryShare*float64(h.times[c.Class].Mean())))
}

// recordAnswer records the time of an answer by the first target of a call.
func (h *Hedges) recordAnswer(c *ffmesh.Call, d time.Duration) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	share, limited := h.limit.Share()
	if !limited {
		return
	}
	if h.times == nil || len(h.times) >= maxHedgeClasses {
		h.times = make(map[uint16]ffhedge.Times)
	}
	h.times[c.Class] = h.times[c.Class].WithAnswer(d, share)
	work := h.times[c.Class].Mean()
	h.credit(c, h.credits[c.Service].WithCall(work, h.limit))
	h.totals.CallWork += work
}

// slowFrom returns the time from which a call counts as slow under the limit; 0 if that is
// not known, or there is no limit.
func (h *Hedges) slowFrom(c *ffmesh.Call) time.Duration {
	if h == nil {
		return 0
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, limited := h.limit.Share(); !limited {
		return 0
	}
	return h.times[c.Class].SlowFrom()
}

// allows reports whether the limit leaves room for a copy of c.
func (h *Hedges) allows(c *ffmesh.Call) bool {
	if h == nil {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, limited := h.limit.Share(); !limited {
		return true
	}
	return h.credits[c.Service].Allows(h.times[c.Class].Mean())
}

// recordCopy records a copy of c.
func (h *Hedges) recordCopy(c *ffmesh.Call) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.totals.Copies++
	h.spend(c, h.times[c.Class].Mean())
}

// spend charges extra work to the service of c. The caller holds the lock.
func (h *Hedges) spend(c *ffmesh.Call, work time.Duration) {
	h.credit(c, h.credits[c.Service].WithExtra(work))
	h.totals.ExtraWork += work
}

// credit sets the credit of the service of c. The caller holds the lock.
func (h *Hedges) credit(c *ffmesh.Call, credit ffhedge.Credit) {
	if h.credits == nil {
		h.credits = make(map[string]ffhedge.Credit)
	}
	h.credits[c.Service] = credit
}
