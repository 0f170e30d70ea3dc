package fflimit

import "time"

// grantPermits grants a holder permits that nobody else may use. Until the holder
// confirms the grant, the ledger counts the greater of what it held and what it gets.
func (a *allocation) grantPermits(h *holder, q Ask, now time.Time) int {
	n := min(q.Permits, a.offer(h, q, now))
	if now.Before(a.learnUntil) {
		confirmed := min(q.Holding, a.capacity(now)-a.exposedBeside(h, now))
		n = max(n, min(q.Permits, confirmed))
	}
	n = max(n, 0)
	h.lacked = max(q.Permits-n, 0)
	h.exposure = max(q.Holding, n)
	h.until = now.Add(permitHold)
	if q.Loan {
		h.until = now.Add(loanHold)
	}
	return n
}

// offer returns the permits that a holder may have.
func (a *allocation) offer(h *holder, q Ask, now time.Time) int {
	capacity := a.capacity(now)
	if now.Before(a.learnUntil) {
		capacity = min(capacity, max(int(learningShare*float64(capacity)), 1))
	}
	free := capacity - a.exposedBeside(h, now)
	if q.Loan {
		return a.lendable(free, now)
	}
	wanted := q.Permits + a.wantedBeside(h, now)
	if wanted <= capacity {
		return free
	}
	fair := max(capacity*q.Permits/wanted, 1)
	return min(free, fair)
}

// lendable returns the permits that another cell may have of those that are
// free: none that is borrowed itself, and none that own daemons lack.
func (a *allocation) lendable(free int, now time.Time) int {
	if now.Before(a.learnUntil) {
		return 0
	}
	return free - a.borrowed.permits(now) - a.lacked(now)
}

// capacity returns the permits that may be in use, with the borrowed ones that
// last longer than any grant made now.
func (a *allocation) capacity(now time.Time) int { return a.part.permits + a.borrowed.permits(now) }

// exposed returns the permits that all holders may be using.
func (a *allocation) exposed(now time.Time) int { return a.exposedBeside(nil, now) }

// exposedBeside returns the permits that all holders but one may be using.
func (a *allocation) exposedBeside(one *holder, now time.Time) int {
	n := 0
	for _, h := range a.holders {
		if h != one {
			n += h.exposed(now)
		}
	}
	return n
}

// wantedBeside returns the permits that all own daemons but one want.
func (a *allocation) wantedBeside(one *holder, now time.Time) int {
	n := 0
	for _, h := range a.holders {
		if h != one && h.active(now) {
			n += h.wanted
		}
	}
	return n
}

// lacked returns the permits that own daemons asked for in vain.
func (a *allocation) lacked(now time.Time) int {
	n := 0
	for _, h := range a.holders {
		if h.active(now) {
			n += h.lacked
		}
	}
	return n
}
