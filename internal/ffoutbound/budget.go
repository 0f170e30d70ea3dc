package ffoutbound

import (
	"sync"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffbudget"
	"fireflyfall.dev/fireflyfall/internal/ffmesh"
)

// RetryBudget is a retry budget that is safe for concurrent use. The zero value allows no
// retries until Set is called.
type RetryBudget struct {
	mu     sync.Mutex
	budget ffbudget.Budget
}

// NewRetryBudget returns a budget. firstStart reports whether no entry of the fleet can have
// made retries before this one started.
func NewRetryBudget(firstStart bool) *RetryBudget {
	return &RetryBudget{budget: ffbudget.Budget{FirstStart: firstStart}}
}

// Set sets the fleet's budget and the number of entries that share it.
func (b *RetryBudget) Set(c ffbudget.Config, entries int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Set(c, entries, now)
}

// recordRequest counts a call, with the share of retries among the runs that may have made
// it.
func (b *RetryBudget) recordRequest(c *ffmesh.Call, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.RecordRequest(c.Service, c.Priority, c.RetryShare, now)
}

// tryRetry takes one retry of a call out of the budget and reports whether there was one
// left. clientRetry reports whether the client itself asks again.
func (b *RetryBudget) tryRetry(c *ffmesh.Call, clientRetry bool, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.TryRetry(c.Service, c.Priority, clientRetry, now)
}

// AllowsRetriedRun reports whether the target on this VM, which runs a number of retries, may
// run one more.
func (b *RetryBudget) AllowsRetriedRun(running int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.AllowsRetriedRun(running, now)
}

// Remaining returns the retries left for the service that has fewest.
func (b *RetryBudget) Remaining(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Remaining(now)
}
