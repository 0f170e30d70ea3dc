package fflimit

import (
	"context"
	"time"
)

// requestWorker sends the requests of accounts to some of the allocators.
type requestWorker struct {
	exchange *Exchange
	queue    chan *account
	// unresponsiveUntil maps an allocator that did not respond to the time until which
	// it is sent no requests.
	unresponsiveUntil map[string]time.Time
}

// run sends requests until the context ends.
func (w *requestWorker) run(ctx context.Context) {
	w.unresponsiveUntil = make(map[string]time.Time)
	for {
		select {
		case a := <-w.queue:
			for _, group := range w.collect(a) {
				w.send(ctx, group)
			}
		case <-ctx.Done():
			return
		}
	}
}

// requestGroup holds the accounts whose requests go to one allocator.
type requestGroup struct {
	allocator string
	accounts  []*account
}

// collect returns the queued accounts, grouped by allocator.
func (w *requestWorker) collect(first *account) []requestGroup {
	var groups []requestGroup
	for a := first; ; {
		groups = addToGroup(groups, a)
		if len(groups[0].accounts) >= maxRequestsPerBatch {
			return groups
		}
		select {
		case a = <-w.queue:
		default:
			return groups
		}
	}
}

func addToGroup(groups []requestGroup, a *account) []requestGroup {
	name := a.allocatorVM().Name
	for i := range groups {
		if groups[i].allocator == name {
			groups[i].accounts = append(groups[i].accounts, a)
			return groups
		}
	}
	return append(groups, requestGroup{allocator: name, accounts: []*account{a}})
}

// send sends the requests of a group to its allocator and passes the responses to the
// accounts.
func (w *requestWorker) send(ctx context.Context, group requestGroup) {
	clock := w.exchange.Clock
	if clock().Before(w.unresponsiveUntil[group.allocator]) {
		group.failRequests(clock())
		return
	}
	reqs := make([]Request, len(group.accounts))
	for i, a := range group.accounts {
		reqs[i] = a.lockAndBuildRequest(w.exchange.Limiter.Holder, clock())
	}
	vm := group.accounts[0].allocatorVM()
	resps := w.exchange.send(ctx, vm, reqs)
	if resps == nil {
		w.unresponsiveUntil[group.allocator] = clock().Add(failedRequestWait)
		group.failRequests(clock())
		return
	}
	delete(w.unresponsiveUntil, group.allocator)
	for i, a := range group.accounts {
		a.lockAndApplyResponse(reqs[i], resps[i], clock())
	}
}

func (g requestGroup) failRequests(now time.Time) {
	for _, a := range g.accounts {
		a.mu.Lock()
		a.failRequest(now)
		a.mu.Unlock()
	}
}
