package fflimit

import (
	"math"
	"sync"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// How far ahead a daemon asks.
const (
	// horizonSeconds is the time for which a daemon asks for tokens.
	horizonSeconds = 0.5
	// lowWaterSeconds is the time for which tokens must last before the next ask.
	lowWaterSeconds = 0.25
	// permitHeadroom is the multiple of the permits in use that a daemon asks for.
	permitHeadroom = 1.25
	// maxSurge bounds the multiple of the expected calls that a daemon asks for.
	maxSurge = 64
)

// forgetAccount is the time after which an account without calls is forgotten.
const forgetAccount = 10 * time.Minute

// account is what one daemon holds for one customer.
type account struct {
	mu       sync.Mutex
	contract *ffconfig.Contract
	fleet    *Fleet
	// cell names the own cell, and allocator the VM that allocates for it.
	cell      string
	allocator ffmember.VM
	reachable bool

	own    part
	static bucket
	tokens batches
	// granted is the number of permits that may be used until grantedUntil.
	granted      int
	grantedUntil time.Time
	inUse        int

	calls demand
	// unmet counts refusals for want of a permit since the last ask.
	unmet  int
	usedAt time.Time
	// asking tells that an ask is under way, from the time when it is queued; seq
	// and sentAt are those of the latest that was sent, and answered is closed when it ends.
	asking   bool
	seq      uint64
	sentAt   time.Time
	answered chan struct{}
	// askAt is the time before which no ask is sent.
	askAt time.Time
	// exhausted tells that the last answer left a want unmet.
	exhausted bool
	// surge is the multiple of the expected calls to ask for; it doubles while
	// tokens run out between two regular asks.
	surge int
}

// place works out the parts again when the contract or the fleet has changed.
func (a *account) place(c *ffconfig.Contract, f *Fleet) {
	if a.contract == c && a.fleet == f {
		return
	}
	fresh := a.contract == nil
	a.contract, a.fleet = c, f
	a.own, a.reachable, a.cell = part{}, false, ""
	all := f.cells(c)
	i := f.ownCell(all)
	if i < 0 {
		return
	}
	_, static := cellParts(c, all, i)
	count, position := f.members(&all[i], c.Customer)
	a.own = static.ofDaemon(position, count)
	a.cell = all[i].name
	before := a.allocator.Name
	a.allocator, a.reachable = f.allocator(&all[i], c.Customer)
	if a.allocator.Name != before && !a.asking {
		a.askAt = time.Time{}
	}
	if fresh {
		a.static.level = a.own.burst
	}
}

// permits returns the number of calls that may be in flight.
func (a *account) permits(now time.Time) int {
	if now.Before(a.grantedUntil) {
		return a.own.permits + a.granted
	}
	return a.own.permits
}

// arrive counts a call.
func (a *account) arrive(now time.Time) {
	a.usedAt = now
	a.calls.add(1, now)
}

// take takes a permit and a token, or reports which is missing.
func (a *account) take(now time.Time) Shortage {
	if a.inUse >= a.permits(now) {
		a.unmet++
		return ShortageConcurrency
	}
	a.static.mint(a.own.rate, a.own.burst, now)
	if a.static.take(1) == 0 && !a.tokens.take(now) {
		return ShortageRate
	}
	a.inUse++
	return ShortageNone
}

// wants reports whether an ask is due. A call that lacks something need not wait
// for the next time to ask while the allocator has had all that was asked for.
func (a *account) wants(shortage Shortage, now time.Time) bool {
	if !a.reachable || a.asking {
		return false
	}
	if now.Before(a.askAt) {
		if shortage == ShortageNone || a.exhausted {
			return false
		}
		a.surge = min(2*a.surge, maxSurge)
		return true
	}
	a.surge = 1
	lasting := now.Before(a.grantedUntil.Add(-permitTerm / 2))
	return !lasting || a.inUse >= a.permits(now) || a.tokens.left(now) < a.ahead(lowWaterSeconds, now)
}

// ahead returns the calls that are expected within a time, at least one.
func (a *account) ahead(seconds float64, now time.Time) int {
	expected := min(a.calls.rate(now), a.contract.RatePerSecond) * seconds
	return max(int(math.Ceil(expected)), 1)
}

// begin notes that an ask is under way.
func (a *account) begin() {
	a.asking = true
	a.exhausted = false
	a.answered = make(chan struct{})
}

// ask returns the ask to send now.
func (a *account) ask(holder string, now time.Time) Ask {
	a.seq++
	a.sentAt = now
	q := Ask{
		Customer: a.contract.Customer,
		Cell:     a.cell,
		Holder:   holder,
		Seq:      a.seq,
		Tokens:   a.tokensWanted(now),
		Permits:  a.permitsWanted(),
		Demand:   a.calls.rate(now),
	}
	q.Holding = max(a.inUse-a.own.permits, 0)
	if now.Before(a.grantedUntil) {
		q.Holding = max(q.Holding, a.granted)
	}
	a.unmet = 0
	return q
}

func (a *account) tokensWanted(now time.Time) int {
	most := max(a.contract.Burst, int(a.contract.RatePerSecond*horizonSeconds), 1)
	return max(min(a.ahead(horizonSeconds, now)*a.surge, most)-a.tokens.left(now), 0)
}

func (a *account) permitsWanted() int {
	busy := a.inUse + a.unmet
	want := (int(math.Ceil(float64(busy)*permitHeadroom)) + 1) * a.surge
	return min(max(want-a.own.permits, 0), a.contract.Concurrency)
}

// accept takes in the answer to the ask under way; any other answer is void.
func (a *account) accept(q Ask, r Answer, now time.Time) {
	if !a.asking || r.Seq != a.seq {
		return
	}
	if now.Before(a.sentAt.Add(tokenTerm)) {
		a.tokens.add(batch{tokens: r.Tokens, until: a.sentAt.Add(tokenTerm)}, now)
	}
	a.granted = r.Permits
	a.grantedUntil = a.sentAt.Add(permitTerm)
	a.exhausted = r.Tokens < q.Tokens || r.Permits < min(q.Permits, q.Holding+1)
	a.end(now.Add(max(r.Wait, minAskInterval)))
}

// fail ends the ask under way without an answer.
func (a *account) fail(now time.Time) {
	if !a.asking {
		return
	}
	a.exhausted = true
	a.end(now.Add(failedAskWait))
}

// end lets the next ask go from a time on, and wakes those who wait.
func (a *account) end(next time.Time) {
	a.asking = false
	a.askAt = next
	close(a.answered)
}

// expire drops every grant, for a daemon that was paused.
func (a *account) expire() {
	a.tokens = batches{}
	a.granted = 0
	a.grantedUntil = time.Time{}
}

// idle reports whether nothing has used the account for so long that it may be forgotten.
func (a *account) idle(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.inUse == 0 && !a.asking && now.Sub(a.usedAt) > forgetAccount
}

// allocatorVM returns the VM that allocates for the own cell.
func (a *account) allocatorVM() ffmember.VM {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.allocator
}

// lockedAsk is ask for a caller without the lock.
func (a *account) lockedAsk(holder string, now time.Time) Ask {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ask(holder, now)
}

// lockedAccept is accept for a caller without the lock.
func (a *account) lockedAccept(q Ask, r Answer, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.accept(q, r, now)
}
