package fflimit

import (
	"context"
	"time"
)

// courier carries the asks of accounts to some of the allocators.
type courier struct {
	exchange *Exchange
	queue    chan *account
	// silent holds the allocators that did not answer, until when they are left alone.
	silent map[string]time.Time
}

// run carries asks until the context ends.
func (c *courier) run(ctx context.Context) {
	c.silent = make(map[string]time.Time)
	for {
		select {
		case a := <-c.queue:
			for _, b := range c.gather(a) {
				c.deliver(ctx, b)
			}
		case <-ctx.Done():
			return
		}
	}
}

// parcel holds the accounts whose asks go to one allocator.
type parcel struct {
	allocator string
	accounts  []*account
}

// gather returns the accounts that wait, by allocator.
func (c *courier) gather(first *account) []parcel {
	var parcels []parcel
	for a := first; ; {
		parcels = put(parcels, a)
		if len(parcels[0].accounts) >= maxBatchAsks {
			return parcels
		}
		select {
		case a = <-c.queue:
		default:
			return parcels
		}
	}
}

func put(parcels []parcel, a *account) []parcel {
	name := a.allocatorVM().Name
	for i := range parcels {
		if parcels[i].allocator == name {
			parcels[i].accounts = append(parcels[i].accounts, a)
			return parcels
		}
	}
	return append(parcels, parcel{allocator: name, accounts: []*account{a}})
}

// deliver asks one allocator and hands the answers to the accounts.
func (c *courier) deliver(ctx context.Context, p parcel) {
	clock := c.exchange.Clock
	if clock().Before(c.silent[p.allocator]) {
		p.fail(clock())
		return
	}
	asks := make([]Ask, len(p.accounts))
	for i, a := range p.accounts {
		asks[i] = a.lockedAsk(c.exchange.Limiter.Holder, clock())
	}
	vm := p.accounts[0].allocatorVM()
	answers := c.exchange.send(ctx, vm, asks)
	if answers == nil {
		c.silent[p.allocator] = clock().Add(failedAskWait)
		p.fail(clock())
		return
	}
	delete(c.silent, p.allocator)
	for i, a := range p.accounts {
		a.lockedAccept(asks[i], answers[i], clock())
	}
}

func (p parcel) fail(now time.Time) {
	for _, a := range p.accounts {
		a.mu.Lock()
		a.fail(now)
		a.mu.Unlock()
	}
}
