package fflimit

import (
	"math"
	"sync"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// Amounts that a daemon requests.
const (
	// requestHorizonSeconds is the time span for which a daemon requests tokens.
	requestHorizonSeconds = 0.5
	// lowWaterSeconds is the time span that the remaining tokens must cover; with
	// fewer tokens, a daemon sends a request.
	lowWaterSeconds = 0.25
	// permitHeadroom is the multiple of the permits in use that a daemon requests.
	permitHeadroom = 1.25
	// maxRequestScale is the maximum of account.requestScale.
	maxRequestScale = 64
)

// accountIdleTimeout is the time after which an account without calls is dropped.
const accountIdleTimeout = 10 * time.Minute

// account holds the quota and grants of one daemon for one customer.
type account struct {
	mu       sync.Mutex
	contract *ffconfig.Contract
	fleet    *Fleet
	// cell is the name of the own cell, and allocator the VM that allocates for it.
	cell         string
	allocator    ffmember.VM
	hasAllocator bool

	staticQuota  quota
	staticBucket bucket
	tokens       tokenBatches
	// granted is the number of permits that may be used until grantedUntil.
	granted      int
	grantedUntil time.Time
	inUse        int

	callRate eventRate
	// unmetPermits counts refusals for lack of a permit since the last request.
	unmetPermits int
	usedAt       time.Time
	// pending reports that a request is queued or in flight; seq and sentAt are those
	// of the last request sent, and done is closed when the request ends.
	pending bool
	seq     uint64
	sentAt  time.Time
	done    chan struct{}
	// nextRequestAt is the time of the next regular request.
	nextRequestAt time.Time
	// exhausted reports that the last request failed, or was granted fewer tokens
	// than requested or no additional permit.
	exhausted bool
	// requestScale is the multiple of the expected calls and permits to request; it
	// doubles while tokens or permits run out between two regular requests.
	requestScale int
}

// update recomputes the quota, the cell and its allocator if the contract or the
// fleet has changed.
func (a *account) update(c *ffconfig.Contract, f *Fleet) {
	if a.contract == c && a.fleet == f {
		return
	}
	first := a.contract == nil
	a.contract, a.fleet = c, f
	a.staticQuota, a.hasAllocator, a.cell = quota{}, false, ""
	cells := f.cells(c)
	i := f.ownCell(cells)
	if i < 0 {
		return
	}
	_, static := cellQuotas(c, cells, i)
	count, position := f.members(&cells[i], c.Customer)
	a.staticQuota = static.forDaemon(position, count)
	a.cell = cells[i].name
	previous := a.allocator.Name
	a.allocator, a.hasAllocator = f.allocator(&cells[i], c.Customer)
	if a.allocator.Name != previous && !a.pending {
		a.nextRequestAt = time.Time{}
	}
	if first {
		a.staticBucket.level = a.staticQuota.burst
	}
}

// permits returns the number of calls that may be in flight.
func (a *account) permits(now time.Time) int {
	if now.Before(a.grantedUntil) {
		return a.staticQuota.permits + a.granted
	}
	return a.staticQuota.permits
}

// recordCall counts a call in the call rate.
func (a *account) recordCall(now time.Time) {
	a.usedAt = now
	a.callRate.add(1, now)
}

// acquire takes a permit and a token, or reports which is missing.
func (a *account) acquire(now time.Time) Shortage {
	if a.inUse >= a.permits(now) {
		a.unmetPermits++
		return ShortageConcurrency
	}
	a.staticBucket.refill(a.staticQuota.rate, a.staticQuota.burst, now)
	if a.staticBucket.take(1) == 0 && !a.tokens.take(now) {
		return ShortageRate
	}
	a.inUse++
	return ShortageNone
}

// requestDue reports whether to send a request. A call that lacks a token or a permit
// does not wait for the next regular request if the last one was granted in full.
func (a *account) requestDue(shortage Shortage, now time.Time) bool {
	if !a.hasAllocator || a.pending {
		return false
	}
	if now.Before(a.nextRequestAt) {
		if shortage == ShortageNone || a.exhausted {
			return false
		}
		a.requestScale = min(2*a.requestScale, maxRequestScale)
		return true
	}
	a.requestScale = 1
	grantFresh := now.Before(a.grantedUntil.Add(-permitTerm / 2))
	return !grantFresh || a.inUse >= a.permits(now) || a.tokens.usable(now) < a.expectedCalls(lowWaterSeconds, now)
}

// expectedCalls returns the number of calls expected within a time, at least one.
func (a *account) expectedCalls(seconds float64, now time.Time) int {
	expected := min(a.callRate.rate(now), a.contract.RatePerSecond) * seconds
	return max(int(math.Ceil(expected)), 1)
}

// beginRequest marks a request as pending.
func (a *account) beginRequest() {
	a.pending = true
	a.exhausted = false
	a.done = make(chan struct{})
}

// buildRequest returns the request to send now.
func (a *account) buildRequest(holder string, now time.Time) Request {
	a.seq++
	a.sentAt = now
	req := Request{
		Customer: a.contract.Customer,
		Cell:     a.cell,
		Holder:   holder,
		Seq:      a.seq,
		Tokens:   a.tokensWanted(now),
		Permits:  a.permitsWanted(),
		Demand:   a.callRate.rate(now),
	}
	req.Holding = max(a.inUse-a.staticQuota.permits, 0)
	if now.Before(a.grantedUntil) {
		req.Holding = max(req.Holding, a.granted)
	}
	a.unmetPermits = 0
	return req
}

func (a *account) tokensWanted(now time.Time) int {
	limit := max(a.contract.Burst, int(a.contract.RatePerSecond*requestHorizonSeconds), 1)
	return max(min(a.expectedCalls(requestHorizonSeconds, now)*a.requestScale, limit)-a.tokens.usable(now), 0)
}

func (a *account) permitsWanted() int {
	busy := a.inUse + a.unmetPermits
	want := (int(math.Ceil(float64(busy)*permitHeadroom)) + 1) * a.requestScale
	return min(max(want-a.staticQuota.permits, 0), a.contract.Concurrency)
}

// applyResponse stores the grants of the response to the pending request; any other
// response is ignored.
func (a *account) applyResponse(req Request, resp Response, now time.Time) {
	if !a.pending || resp.Seq != a.seq {
		return
	}
	if now.Before(a.sentAt.Add(tokenTerm)) {
		a.tokens.add(batch{tokens: resp.Tokens, until: a.sentAt.Add(tokenTerm)}, now)
	}
	a.granted = resp.Permits
	a.grantedUntil = a.sentAt.Add(permitTerm)
	a.exhausted = resp.Tokens < req.Tokens || resp.Permits < min(req.Permits, req.Holding+1)
	a.endRequest(now.Add(max(resp.Wait, minRequestInterval)))
}

// failRequest ends the pending request without a response.
func (a *account) failRequest(now time.Time) {
	if !a.pending {
		return
	}
	a.exhausted = true
	a.endRequest(now.Add(failedRequestWait))
}

// endRequest ends the pending request, sets the time of the next one and wakes the
// calls that wait for the response.
func (a *account) endRequest(next time.Time) {
	a.pending = false
	a.nextRequestAt = next
	close(a.done)
}

// expireGrants discards all grants after a pause of the daemon.
func (a *account) expireGrants() {
	a.tokens = tokenBatches{}
	a.granted = 0
	a.grantedUntil = time.Time{}
}

// idle reports whether the account has been unused for more than accountIdleTimeout.
func (a *account) idle(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.inUse == 0 && !a.pending && now.Sub(a.usedAt) > accountIdleTimeout
}

// allocatorVM returns the VM that allocates for the own cell.
func (a *account) allocatorVM() ffmember.VM {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.allocator
}

// lockAndBuildRequest is buildRequest for a caller that does not hold the lock.
func (a *account) lockAndBuildRequest(holder string, now time.Time) Request {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.buildRequest(holder, now)
}

// lockAndApplyResponse is applyResponse for a caller that does not hold the lock.
func (a *account) lockAndApplyResponse(req Request, resp Response, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applyResponse(req, resp, now)
}
