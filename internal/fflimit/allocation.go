package fflimit

import (
	"math"
	"time"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// Limits on what one grant may take of a cell's quota.
const (
	// learningShare is the share of a cell's permits that an allocator may grant
	// before it knows what its predecessor granted.
	learningShare = 0.25
	// localReserveSeconds is the time span of its own daemons' demand for which a cell
	// reserves tokens; it lends only the tokens beyond that.
	localReserveSeconds = 0.5
	// fairShareMultiple is the multiple of its fair share of the available tokens that
	// a holder may take at once, so that the bucket does not overflow before the next
	// holder's request.
	fairShareMultiple = 2
)

// maxLoanWait is the time that a borrower waits before its next request to a cell
// that has nothing to lend.
const maxLoanWait = time.Second

// allocation divides one cell's quota of one contract among its holders. It does no
// I/O and reads no clock.
type allocation struct {
	contract *ffconfig.Contract
	fleet    *Fleet
	cell     string
	quota    quota
	// learnUntil is the time until which grants of a previous allocator may be in use.
	learnUntil time.Time
	usedAt     time.Time

	bucket   bucket
	holders  map[string]*holder
	borrowed borrowed
}

// update recomputes the quota and the lenders if the contract or the fleet has
// changed, and reports whether this daemon allocates, or allocated recently, for the
// cell.
func (a *allocation) update(c *ffconfig.Contract, f *Fleet, cellName string, now time.Time) bool {
	a.usedAt = now
	if a.contract == c && a.fleet == f {
		return true
	}
	cells := f.cells(c)
	for i := range cells {
		if cells[i].name != cellName || !f.allocatedRecently(c, cellName) {
			continue
		}
		since := f.allocatesSince(c, cellName)
		if a.contract == nil {
			a.initialize(since)
		}
		a.contract, a.fleet, a.cell = c, f, cellName
		a.quota, _ = cellQuotas(c, cells, i)
		a.learnUntil = since.Add(maxReservation)
		a.borrowed.setLenders(c, f, cells, i)
		return true
	}
	return false
}

// initialize creates the holders and the bucket. The bucket starts with one token,
// since a previous allocator may have emptied it by the time from which this daemon
// allocates; it starts full if that time is zero.
func (a *allocation) initialize(since time.Time) {
	a.holders = make(map[string]*holder)
	a.bucket = bucket{level: 1, updatedAt: since}
	if since.IsZero() {
		a.bucket.level = math.Inf(1)
	}
}

// grant returns the response to a request. A duplicate or reordered request is granted
// nothing.
func (a *allocation) grant(req Request, now time.Time) Response {
	h := a.holder(req.Holder, now)
	resp := Response{Customer: req.Customer, Cell: req.Cell, Seq: req.Seq}
	if req.Seq <= h.seq {
		return resp
	}
	h.seq, h.requestedAt, h.loan = req.Seq, now, req.Loan
	h.demand, h.wantedPermits = req.Demand, req.Permits
	resp.Permits = a.grantPermits(h, req, now)
	h.canUseTokens = resp.Permits > 0 || req.Permits == 0
	if h.canUseTokens || req.Loan {
		resp.Tokens = a.grantTokens(h, req.Tokens, now)
	}
	resp.Wait = a.requestWait(h, req, resp, now)
	h.activeUntil = now.Add(resp.Wait + activeGrace)
	return resp
}

func (a *allocation) holder(name string, now time.Time) *holder {
	h := a.holders[name]
	if h == nil {
		a.evictIdleHolders(now)
		h = &holder{}
		a.holders[name] = h
	}
	return h
}

// evictIdleHolders drops the holders that have stopped sending requests.
func (a *allocation) evictIdleHolders(now time.Time) {
	for name, h := range a.holders {
		if now.Sub(h.requestedAt) > holderIdleTimeout {
			delete(a.holders, name)
		}
	}
}

// requestWait returns the minimum time before the holder's next request, which grows
// with the number of holders so as to limit their total request rate. The holders
// that cannot use tokens, for lack of a permit, together get the same rate as those
// that can.
func (a *allocation) requestWait(current *holder, req Request, resp Response, now time.Time) time.Duration {
	if req.Loan {
		return a.loanWait(req, resp, now)
	}
	similar := 1
	for _, h := range a.holders {
		if h != current && h.active(now) && h.canUseTokens == current.canUseTokens {
			similar++
		}
	}
	wait := time.Duration(similar) * time.Second / targetRequestsPerSecond
	return min(max(wait, minRequestInterval), maxRequestInterval)
}

// loanWait returns the minimum time before a borrower's next request.
func (a *allocation) loanWait(req Request, resp Response, now time.Time) time.Duration {
	if resp.Tokens > 0 || resp.Permits > req.Holding {
		return loanInterval
	}
	if req.Tokens == 0 || a.localDemand(now) > 0 {
		return maxLoanWait
	}
	ready := a.bucket.nextTokenAt(a.quota.rate, now).Sub(now)
	return min(max(ready, loanInterval), maxLoanWait)
}

// grantTokens takes tokens for a holder from the borrowed tokens and the bucket. A
// loan is taken from the bucket only.
func (a *allocation) grantTokens(h *holder, want int, now time.Time) int {
	depth := max(a.quota.burst, a.quota.rate*bucketSeconds, 1)
	a.bucket.refill(a.quota.rate, depth, now)
	if h.loan {
		reserve := a.localDemand(now) * localReserveSeconds
		return a.bucket.take(min(want, int(max(a.bucket.level-reserve, 0))))
	}
	available := int(a.bucket.level) + a.borrowed.tokens(now)
	n := min(want, available, max(int(float64(available)*a.maxFraction(h, now)), 1))
	lent := a.borrowed.take(n, now)
	return lent + a.bucket.take(n-lent)
}

// maxFraction returns the fraction of the available tokens that a holder may take at
// once, by its share of the demand of all holders that can use tokens.
func (a *allocation) maxFraction(h *holder, now time.Time) float64 {
	total := 0.0
	for _, other := range a.holders {
		if other.canUseTokens && other.active(now) || other == h {
			total += other.demand
		}
	}
	if total <= a.quota.rate || total <= 0 {
		return 1
	}
	return min(fairShareMultiple*h.demand/total, 1)
}

// localDemand returns the calls per second that the cell's own daemons receive.
func (a *allocation) localDemand(now time.Time) float64 {
	total := 0.0
	for _, h := range a.holders {
		if h.active(now) {
			total += h.demand
		}
	}
	return total
}
