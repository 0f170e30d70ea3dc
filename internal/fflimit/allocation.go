package fflimit

import (
	"math"
	"time"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// Shares of a cell's part in special cases.
const (
	// learningShare is the share of a cell's permits that an allocator may grant
	// before it knows what its predecessor granted.
	learningShare = 0.25
	// reserveSeconds is the time of its own daemons' demand that a cell keeps back
	// from other cells.
	reserveSeconds = 0.5
	// haste lets a holder take more than its share of what is there at one time, so
	// that nothing overflows before the next one asks.
	haste = 2
)

// maxLoanWait is the time that a borrower leaves before it asks again a cell that has nothing.
const maxLoanWait = time.Second

// allocation divides one cell's part of one contract. It takes values and a time
// in and gives values out.
type allocation struct {
	contract *ffconfig.Contract
	fleet    *Fleet
	cell     string
	part     part
	// learnUntil is the time until which a predecessor's grants may be in use.
	learnUntil time.Time
	usedAt     time.Time

	bucket   bucket
	holders  map[string]*holder
	borrowed borrowed
}

// place works out the part again when the contract or the fleet has changed, and
// reports whether this daemon allocates for the cell.
func (a *allocation) place(c *ffconfig.Contract, f *Fleet, cellName string, now time.Time) bool {
	a.usedAt = now
	if a.contract == c && a.fleet == f {
		return true
	}
	all := f.cells(c)
	for i := range all {
		if all[i].name != cellName || !f.allocatedLately(c, cellName) {
			continue
		}
		since := f.allocatesSince(c, cellName)
		if a.contract == nil {
			a.open(since)
		}
		a.contract, a.fleet, a.cell = c, f, cellName
		a.part, _ = cellParts(c, all, i)
		a.learnUntil = since.Add(holdTerm)
		a.borrowed.setLenders(c, f, all, i)
		return true
	}
	return false
}

// open starts the books. A predecessor may have emptied the bucket by the time
// from which this daemon allocates.
func (a *allocation) open(since time.Time) {
	a.holders = make(map[string]*holder)
	a.bucket = bucket{level: 1, at: since}
	if since.IsZero() {
		a.bucket.level = math.Inf(1)
	}
}

// answer grants what one ask may have.
func (a *allocation) answer(q Ask, now time.Time) Answer {
	h := a.holder(q.Holder, now)
	r := Answer{Customer: q.Customer, Cell: q.Cell, Seq: q.Seq}
	if q.Seq <= h.seq {
		return r
	}
	h.seq, h.askedAt, h.loan = q.Seq, now, q.Loan
	h.demand, h.wanted = q.Demand, q.Permits
	r.Permits = a.grantPermits(h, q, now)
	h.served = r.Permits > 0 || q.Permits == 0
	if h.served || q.Loan {
		r.Tokens = a.grantTokens(h, q.Tokens, now)
	}
	r.Wait = a.wait(h, q, r, now)
	h.activeUntil = now.Add(r.Wait + activeMargin)
	return r
}

func (a *allocation) holder(name string, now time.Time) *holder {
	h := a.holders[name]
	if h == nil {
		a.forget(now)
		h = &holder{}
		a.holders[name] = h
	}
	return h
}

// forget drops the holders that ask no more.
func (a *allocation) forget(now time.Time) {
	for name, h := range a.holders {
		if now.Sub(h.askedAt) > forgetHolder {
			delete(a.holders, name)
		}
	}
}

// wait returns the time that the holder shall leave before its next ask, so that
// many holders together do not ask too often. Those that have no permit, and
// could use no token, ask as often all together as those that have.
func (a *allocation) wait(one *holder, q Ask, r Answer, now time.Time) time.Duration {
	if q.Loan {
		return a.loanWait(q, r, now)
	}
	alike := 1
	for _, h := range a.holders {
		if h != one && h.active(now) && h.served == one.served {
			alike++
		}
	}
	wait := time.Duration(alike) * time.Second / reportersPerSecond
	return min(max(wait, minAskInterval), maxAskInterval)
}

// loanWait returns the time that a borrower shall leave before its next ask.
func (a *allocation) loanWait(q Ask, r Answer, now time.Time) time.Duration {
	if r.Tokens > 0 || r.Permits > q.Holding {
		return tradeInterval
	}
	if q.Tokens == 0 || a.demand(now) > 0 {
		return maxLoanWait
	}
	ready := a.bucket.readyAt(a.part.rate, now).Sub(now)
	return min(max(ready, tradeInterval), maxLoanWait)
}

// grantTokens takes tokens for a holder out of the bucket.
func (a *allocation) grantTokens(h *holder, want int, now time.Time) int {
	depth := max(a.part.burst, a.part.rate*bucketSeconds, 1)
	a.bucket.mint(a.part.rate, depth, now)
	if h.loan {
		reserve := a.demand(now) * reserveSeconds
		return a.bucket.take(min(want, int(max(a.bucket.level-reserve, 0))))
	}
	available := int(a.bucket.level) + a.borrowed.tokens(now)
	n := min(want, available, max(int(float64(available)*a.fraction(h, now)), 1))
	lent := a.borrowed.take(n, now)
	return lent + a.bucket.take(n-lent)
}

// fraction returns the part of what is there that a holder may take at once, by
// its share of the demand of all that hold permits.
func (a *allocation) fraction(h *holder, now time.Time) float64 {
	total := 0.0
	for _, other := range a.holders {
		if other.served && other.active(now) || other == h {
			total += other.demand
		}
	}
	if total <= a.part.rate || total <= 0 {
		return 1
	}
	return min(haste*h.demand/total, 1)
}

// demand returns the calls a second that the own daemons see.
func (a *allocation) demand(now time.Time) float64 {
	total := 0.0
	for _, h := range a.holders {
		if h.active(now) {
			total += h.demand
		}
	}
	return total
}
