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

// Size of the path from admission to the allocators.
const (
	// couriers is the number of goroutines that ask allocators. A silent allocator
	// holds up only those that share its courier.
	couriers = 16
	// askQueue is the capacity of a courier's queue.
	askQueue = 256
)

// alone is the fleet of a daemon that knows of no other.
var alone = NewFleet("", "", []ffmember.VM{{}}, []ffmember.VM{{}})

// Limiter admits the calls of one daemon. The zero value holds a daemon alone to
// the whole contract. Its fields are set before the first use. It is safe for
// concurrent use.
type Limiter struct {
	// Holder names this daemon in its asks, unique for each start.
	Holder string

	fleet     atomic.Pointer[Fleet]
	accounts  sync.Map // customer to *account
	allocator allocator
	queues    [couriers]chan *account
	once      sync.Once
}

// SetFleet puts a new view of the fleet in force from now on.
func (l *Limiter) SetFleet(f *Fleet, now time.Time) {
	l.fleet.Store(f.following(l.fleet.Load(), now))
}

// Admit lets a call of a customer pass within its contract, or refuses it as not
// run with the time from which a new attempt makes sense.
func (l *Limiter) Admit(c *ffconfig.Contract, now time.Time) (Permit, *ffcall.Error) {
	a := l.accountOf(c.Customer)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.place(c, l.currentFleet())
	a.arrive(now)
	return l.pass(a, now)
}

// Acquire is Admit for a call that can wait a moment: where an ask is under way,
// it waits for its answer. clock returns the time now.
func (l *Limiter) Acquire(ctx context.Context, c *ffconfig.Contract, clock func() time.Time) (Permit, *ffcall.Error) {
	permit, err := l.Admit(c, clock())
	if err == nil {
		return permit, nil
	}
	a := l.accountOf(c.Customer)
	if !a.await(ctx) {
		return Permit{}, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return l.pass(a, clock())
}

// Expire drops every grant, for a daemon that has noticed that it was paused.
func (l *Limiter) Expire() {
	for _, a := range l.accounts.Range {
		a := a.(*account)
		a.mu.Lock()
		a.expire()
		a.mu.Unlock()
	}
}

// pass admits a call from what the account holds; where that does not do and
// this daemon allocates, from what it grants itself at once.
func (l *Limiter) pass(a *account, now time.Time) (Permit, *ffcall.Error) {
	shortage := a.take(now)
	if a.wants(shortage, now) && l.ask(a, now) && shortage != ShortageNone {
		shortage = a.take(now)
	}
	if shortage != ShortageNone {
		return Permit{}, a.refusal(shortage, now)
	}
	return Permit{account: a}, nil
}

// ask asks the allocator of the account. Where that is this daemon, it answers
// at once, and ask reports so.
func (l *Limiter) ask(a *account, now time.Time) bool {
	if a.allocator.Name != a.fleet.self {
		l.enqueue(a)
		return false
	}
	a.begin()
	q := a.ask(l.Holder, now)
	a.accept(q, l.allocator.answer(a.contract, a.fleet, q, now), now)
	return true
}

// enqueue hands the account to a courier; when its queue is full, a later call tries again.
func (l *Limiter) enqueue(a *account) {
	a.begin()
	select {
	case l.queueOf(a.allocator.Name) <- a:
	default:
		a.end(a.askAt)
	}
}

// queueOf returns the queue of the courier that asks an allocator.
func (l *Limiter) queueOf(allocator string) chan *account {
	l.once.Do(l.makeQueues)
	return l.queues[xxhash.Sum64String(allocator)%couriers]
}

func (l *Limiter) makeQueues() {
	for i := range l.queues {
		l.queues[i] = make(chan *account, askQueue)
	}
}

// forget drops the accounts of customers that have long made no calls.
func (l *Limiter) forget(now time.Time) {
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
	return alone
}

func (l *Limiter) accountOf(customer string) *account {
	if a, ok := l.accounts.Load(customer); ok {
		return a.(*account)
	}
	a, _ := l.accounts.LoadOrStore(customer, &account{})
	return a.(*account)
}
