package fflimit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// Sizes of the worker pool that sends requests to allocators.
const (
	// requestWorkerCount is the number of goroutines that send requests. An allocator
	// that does not respond delays only those that share its worker.
	requestWorkerCount = 16
	// requestQueueSize is the capacity of a worker's queue.
	requestQueueSize = 256
)

// singleDaemonFleet is the fleet of a daemon that knows no other daemon.
var singleDaemonFleet = NewFleet("", "", []ffmember.VM{{}}, []ffmember.VM{{}})

// Limiter admits the calls of one daemon. The zero value applies the whole contract
// to a single daemon. Its fields must be set before the first use. It is safe for
// concurrent use.
type Limiter struct {
	// Holder identifies this daemon in its requests, unique for each start.
	Holder string

	fleet     atomic.Pointer[Fleet]
	accounts  sync.Map // customer to *account
	allocator allocator
	queues    [requestWorkerCount]chan *account
	once      sync.Once
}

// SetFleet puts a new view of the fleet into effect from now on.
func (l *Limiter) SetFleet(f *Fleet, now time.Time) {
	l.fleet.Store(f.withHistory(l.fleet.Load(), now))
}

// Admit admits a call of a customer within its contract, or refuses it as not run,
// with the time from which a retry makes sense.
func (l *Limiter) Admit(c *ffconfig.Contract, now time.Time) (Permit, *ffcall.Error) {
	a := l.accountFor(c.Customer)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.update(c, l.currentFleet())
	a.recordCall(now)
	return l.tryAdmit(a, now)
}

// Acquire is like Admit, but if a request is pending, it waits up to maxResponseWait
// for it to end and tries again. clock returns the current time.
func (l *Limiter) Acquire(ctx context.Context, c *ffconfig.Contract, clock func() time.Time) (Permit, *ffcall.Error) {
	permit, err := l.Admit(c, clock())
	if err == nil {
		return permit, nil
	}
	a := l.accountFor(c.Customer)
	if !a.awaitResponse(ctx) {
		return Permit{}, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return l.tryAdmit(a, clock())
}

// ExpireGrants discards all grants. It is for a daemon that has detected that it was paused.
func (l *Limiter) ExpireGrants() {
	for _, a := range l.accounts.Range {
		a := a.(*account)
		a.mu.Lock()
		a.expireGrants()
		a.mu.Unlock()
	}
}

// tryAdmit admits a call from the quota and grants of the account. If they do not
// suffice and this daemon is the allocator, it tries again after a grant to itself.
func (l *Limiter) tryAdmit(a *account, now time.Time) (Permit, *ffcall.Error) {
	shortage := a.acquire(now)
	if a.requestDue(shortage, now) && l.requestGrant(a, now) && shortage != ShortageNone {
		shortage = a.acquire(now)
	}
	if shortage != ShortageNone {
		return Permit{}, a.refusal(shortage, now)
	}
	return Permit{account: a}, nil
}

// requestGrant requests a grant from the allocator of the account. It returns true if
// that is this daemon, whose grant is applied at once.
func (l *Limiter) requestGrant(a *account, now time.Time) bool {
	if a.allocator.Name != a.fleet.self {
		l.enqueue(a)
		return false
	}
	a.beginRequest()
	req := a.buildRequest(l.Holder, now)
	a.applyResponse(req, l.allocator.grant(a.contract, a.fleet, req, now), now)
	return true
}

// enqueue queues the account for a worker; if the queue is full, a later call tries again.
func (l *Limiter) enqueue(a *account) {
	a.beginRequest()
	select {
	case l.queueFor(a.allocator.Name) <- a:
	default:
		a.endRequest(a.nextRequestAt)
	}
}

// queueFor returns the queue of the worker that sends requests to an allocator.
func (l *Limiter) queueFor(allocator string) chan *account {
	l.once.Do(l.makeQueues)
	return l.queues[xxhash.Sum64String(allocator)%requestWorkerCount]
}

func (l *Limiter) makeQueues() {
	for i := range l.queues {
		l.queues[i] = make(chan *account, requestQueueSize)
	}
}

// evictIdleAccounts drops the accounts of customers without recent calls.
func (l *Limiter) evictIdleAccounts(now time.Time) {
	for customer, a := range l.accounts.Range {
		if a.(*account).idle(now) {
			l.accounts.Delete(customer)
		}
	}
}

func (l *Limiter) currentFleet() *Fleet {
	if f := l.fleet.Load(); f != nil {
		return f
	}
	return singleDaemonFleet
}

func (l *Limiter) accountFor(customer string) *account {
	if a, ok := l.accounts.Load(customer); ok {
		return a.(*account)
	}
	a, _ := l.accounts.LoadOrStore(customer, &account{})
	return a.(*account)
}
