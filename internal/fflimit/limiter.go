package fflimit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// Bounds of waiting for an allocator.
const (
	// answerWait bounds the time that a call waits for a grant.
	answerWait = 100 * time.Millisecond
	// failedAskWait is the time between asks while the allocator does not answer.
	failedAskWait = 500 * time.Millisecond
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
	shortage := l.admit(a, c, now)
	if shortage == ShortageNone {
		return Permit{account: a}, nil
	}
	return Permit{}, refusal(c, shortage, a.retryAt(now))
}

// Acquire is Admit for a call that can wait a moment: where an ask is under way,
// it waits for its answer. clock returns the time now.
func (l *Limiter) Acquire(ctx context.Context, c *ffconfig.Contract, clock func() time.Time) (Permit, *ffcall.Error) {
	permit, err := l.Admit(c, clock())
	if err == nil {
		return permit, nil
	}
	if !l.await(ctx, l.accountOf(c.Customer)) {
		return Permit{}, err
	}
	return l.Admit(c, clock())
}

// await waits for the answer to the ask under way and reports whether there was one.
func (l *Limiter) await(ctx context.Context, a *account) bool {
	a.mu.Lock()
	answered, asking := a.answered, a.asking && !a.exhausted
	a.mu.Unlock()
	if !asking {
		return false
	}
	timer := time.NewTimer(answerWait)
	defer timer.Stop()
	select {
	case <-answered:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
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

// admit admits a call from what the account holds; where that does not do and
// this daemon allocates, from what it grants itself at once.
func (l *Limiter) admit(a *account, c *ffconfig.Contract, now time.Time) Shortage {
	a.place(c, l.currentFleet())
	a.usedAt = now
	a.calls.add(1, now)
	shortage := a.take(now)
	if shortage == ShortageConcurrency {
		a.unmet++
	}
	if !a.wants(now) {
		return shortage
	}
	if a.allocator.Name != a.fleet.self {
		l.enqueue(a)
		return shortage
	}
	a.begin()
	q := a.ask(l.Holder, now)
	a.accept(q, l.allocator.answer(c, a.fleet, q, now), now)
	if shortage != ShortageNone {
		return a.take(now)
	}
	return ShortageNone
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

func refusal(c *ffconfig.Contract, shortage Shortage, retryAt time.Time) *ffcall.Error {
	e := ffcall.Refuse("admit", ffcall.KindLimit, merry.Errorf("customer %s is at the %s of its contract", c.Customer, shortage))
	e.RetryAt = retryAt
	return e
}
