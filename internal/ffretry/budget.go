package ffretry

import (
	"sync"
	"time"
)

// maxBudget bounds the attempts that a quiet spell can save up.
const maxBudget = 100

// floorPeriod is the time in which a quiet customer regains one attempt.
const floorPeriod = 10 * time.Second

// percent is the number of calls that a percentage refers to.
const percent = 100

// Budget counts the extra attempts that a customer may still make: a
// percentage of its calls, and one attempt after a quiet spell. The zero value
// is a full floor. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// earned is the number of attempts that calls have paid for.
	earned float64
	// floorAt is the time from which the floor allows an attempt.
	floorAt time.Time
}

// Earn adds what one call pays for, in attempts.
func (b *Budget) Earn(perCent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.earned = min(b.earned+float64(perCent)/percent, maxBudget)
}

// Spend takes one attempt and reports whether the budget allowed it.
func (b *Budget) Spend(perCent int, now time.Time) bool {
	if perCent <= 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.earned >= 1 {
		b.earned--
		return true
	}
	if now.Before(b.floorAt) {
		return false
	}
	b.floorAt = now.Add(floorPeriod)
	return true
}
