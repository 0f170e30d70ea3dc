package fflimit

import "time"

// grantPermits grants a holder permits that no other holder may use. Until the holder
// confirms the grant, the larger of what it held and what it gets counts as reserved.
func (a *allocation) grantPermits(h *holder, req Request, now time.Time) int {
	n := min(req.Permits, a.grantable(h, req, now))
	if now.Before(a.learnUntil) {
		confirmed := min(req.Holding, a.capacity(now)-a.reservedExcept(h, now))
		n = max(n, min(req.Permits, confirmed))
	}
	n = max(n, 0)
	h.deniedPermits = max(req.Permits-n, 0)
	h.reservedPermits = max(req.Holding, n)
	h.reservedUntil = now.Add(permitReservation)
	if req.Loan {
		h.reservedUntil = now.Add(loanReservation)
	}
	return n
}

// grantable returns the number of permits that a holder may be granted.
func (a *allocation) grantable(h *holder, req Request, now time.Time) int {
	capacity := a.capacity(now)
	if now.Before(a.learnUntil) {
		capacity = min(capacity, max(int(learningShare*float64(capacity)), 1))
	}
	free := capacity - a.reservedExcept(h, now)
	if req.Loan {
		return a.lendable(free, now)
	}
	wanted := req.Permits + a.wantedExcept(h, now)
	if wanted <= capacity {
		return free
	}
	fair := max(capacity*req.Permits/wanted, 1)
	return min(free, fair)
}

// lendable returns how many of the free permits may be lent to another cell: none that
// are themselves borrowed, none that own daemons lack, and none while learning.
func (a *allocation) lendable(free int, now time.Time) int {
	if now.Before(a.learnUntil) {
		return 0
	}
	return free - a.borrowed.permits(now) - a.denied(now)
}

// capacity returns the number of permits that may be in use, including the borrowed
// ones that last longer than any grant made now.
func (a *allocation) capacity(now time.Time) int { return a.quota.permits + a.borrowed.permits(now) }

// reserved returns the number of permits that all holders may be using.
func (a *allocation) reserved(now time.Time) int { return a.reservedExcept(nil, now) }

// reservedExcept returns the number of permits that all holders but one may be using.
func (a *allocation) reservedExcept(excluded *holder, now time.Time) int {
	n := 0
	for _, h := range a.holders {
		if h != excluded {
			n += h.reserved(now)
		}
	}
	return n
}

// wantedExcept returns the number of permits that all own daemons but one want.
func (a *allocation) wantedExcept(excluded *holder, now time.Time) int {
	n := 0
	for _, h := range a.holders {
		if h != excluded && h.active(now) {
			n += h.wantedPermits
		}
	}
	return n
}

// denied returns the number of permits that own daemons requested and did not get.
func (a *allocation) denied(now time.Time) int {
	n := 0
	for _, h := range a.holders {
		if h.active(now) {
			n += h.deniedPermits
		}
	}
	return n
}
