package ffentry

import (
	"context"
	"sync"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/internal/fflimit"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

const (
	// maxLimitWait is the longest time that a call waits for a permit of its contract.
	maxLimitWait = 250 * time.Millisecond
	// limitRetryInterval is the minimum time between two attempts to acquire a permit.
	limitRetryInterval = 20 * time.Millisecond
	// maxWaitingCalls limits the calls of one customer that wait at one daemon.
	maxWaitingCalls = 16
)

// waitingCalls counts the calls that wait for a permit, by customer. The zero value
// is empty.
type waitingCalls struct {
	mu     sync.Mutex
	counts map[string]int
}

// tryAdd counts one more waiting call of the customer. It returns false when too many
// are waiting already.
func (w *waitingCalls) tryAdd(customer string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.counts[customer] >= maxWaitingCalls {
		return false
	}
	if w.counts == nil {
		w.counts = make(map[string]int)
	}
	w.counts[customer]++
	return true
}

func (w *waitingCalls) remove(customer string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts[customer]--
	if w.counts[customer] == 0 {
		delete(w.counts, customer)
	}
}

// acquire acquires a permit for a call. A call above the limit is retried for up to
// maxLimitWait, so that a burst within the contract is not refused while a grant is
// in transit or the allocator changes. At most maxWaitingCalls of a flooding customer
// wait.
func (e *Entry) acquire(ctx context.Context, c *ffconfig.Contract) (fflimit.Permit, *ffcall.Error) {
	permit, refusal := e.Limiter.Acquire(ctx, c, time.Now)
	if refusal == nil || !e.waiting.tryAdd(c.Customer) {
		return permit, refusal
	}
	defer e.waiting.remove(c.Customer)
	until := time.Now().Add(maxLimitWait)
	for refusal != nil {
		next := time.Now().Add(limitRetryInterval)
		if refusal.RetryAt.After(next) {
			next = refusal.RetryAt
		}
		if next.After(until) || !waitUntil(ctx, next) {
			return permit, refusal
		}
		permit, refusal = e.Limiter.Acquire(ctx, c, time.Now)
	}
	return permit, nil
}
