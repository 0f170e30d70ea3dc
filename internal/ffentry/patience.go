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
	// limitPatience bounds the time that a call waits for room in its contract.
	limitPatience = 250 * time.Millisecond
	// limitPause is the least time between two looks for room.
	limitPause = 20 * time.Millisecond
	// maxPatient bounds the calls of one customer that wait at one daemon.
	maxPatient = 16
)

// patient counts the calls that wait for room in their contracts, by customer.
// The zero value holds none.
type patient struct {
	mu      sync.Mutex
	waiting map[string]int
}

// enter reports whether one more call of the customer may wait.
func (p *patient) enter(customer string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting[customer] >= maxPatient {
		return false
	}
	if p.waiting == nil {
		p.waiting = make(map[string]int)
	}
	p.waiting[customer]++
	return true
}

func (p *patient) leave(customer string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting[customer]--
	if p.waiting[customer] == 0 {
		delete(p.waiting, customer)
	}
}

// acquire takes a call's part of the contract. A call that finds no room waits a
// moment, so that a burst within the contract outlasts a grant on its way or a
// change of the allocator; of a customer that floods only a few wait.
func (e *Entry) acquire(ctx context.Context, c *ffconfig.Contract) (fflimit.Permit, *ffcall.Error) {
	permit, refusal := e.Limiter.Acquire(ctx, c, time.Now)
	if refusal == nil || !e.patient.enter(c.Customer) {
		return permit, refusal
	}
	defer e.patient.leave(c.Customer)
	until := time.Now().Add(limitPatience)
	for refusal != nil {
		next := time.Now().Add(limitPause)
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
