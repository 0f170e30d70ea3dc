package ffretry

import (
	"sync"
	"time"
)

// maxBudget is the maximum number of attempts that calls without failures can save up.
const maxBudget = 100

// freeAttemptInterval is the minimum time between attempts that are allowed
// although no calls have earned them. They let customers with few calls retry.
const freeAttemptInterval = 10 * time.Second

// percent is the divisor of a percentage.
const percent = 100

// Budget limits the extra attempts of a customer to a percentage of its calls,
// plus one free attempt in each freeAttemptInterval. The zero value allows the
// first free attempt at once. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// earned is the number of unspent attempts that calls have added.
	earned float64
	// freeAttemptAt is the time from which the next free attempt is allowed.
	freeAttemptAt time.Time
}

// Deposit adds the share of one call: percentage hundredths of an attempt.
func (b *Budget) Deposit(percentage int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.earned = min(b.earned+float64(percentage)/percent, maxBudget)
}

// TryWithdraw takes one attempt and reports whether the budget allows it. A
// percentage of zero allows none.
func (b *Budget) TryWithdraw(percentage int, now time.Time) bool {
	if percentage <= 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.earned >= 1 {
		b.earned--
		return true
	}
	if now.Before(b.freeAttemptAt) {
		return false
	}
	b.freeAttemptAt = now.Add(freeAttemptInterval)
	return true
}
