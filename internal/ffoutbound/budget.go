package ffoutbound

import (
	"math"
	"sync"
	"time"
)

const (
	// windowIntervals is the number of intervals into which the window is divided. Retries
	// are kept for one more, since the window may begin anywhere in its first interval.
	windowIntervals = 20
	budgetBuckets   = windowIntervals + 1
	// firstInterval is the number of the interval in which an entry starts, so that empty
	// buckets belong to none in the window.
	firstInterval = 2 * budgetBuckets
	// budgetShare is the fraction of the fleet's budget that entries spend. The rest is
	// left for the calls that retried runs make beyond the share of their entry: they
	// count as retries too, but are not refused.
	budgetShare = 0.8
	// lowestPriorityShare is the fraction of that available to a service's calls of the
	// lowest priority, and otherPriorityShare the fraction available to all others. The
	// rest is reserved for clients that ask again: a refused client does so once, and
	// its second request does not count as a retry.
	lowestPriorityShare = 0.5
	otherPriorityShare  = 0.7
)

// RetryBudgetConfig is the fleet's retry budget for the requests to one service.
type RetryBudgetConfig struct {
	// Ratio is the number of retries allowed per request in each Window, and MinRetries
	// the number allowed regardless of requests.
	Ratio      float64
	MinRetries float64
	Window     time.Duration
}

// RetryBudget enforces this entry's share of the fleet's retry budget, separately for each
// service. The zero value allows no retries until Set is called.
type RetryBudget struct {
	// FirstStart reports whether no entry of the fleet can have made retries before this
	// one started.
	FirstStart bool

	mu     sync.Mutex
	config RetryBudgetConfig
	// startedAt is when Set was first called.
	startedAt time.Time
	// entries is the number of entries that share the budget. formerEntries is a larger
	// one that counts until formerUntil.
	entries       int
	formerEntries int
	formerUntil   time.Time
	services      map[string]*usage
}

// usage counts the requests and retries of one service in the intervals of the window.
type usage struct {
	// highest and lowest bound the priorities of the calls seen; 0 is the highest.
	highest, lowest int
	buckets         [budgetBuckets]struct {
		interval          int64
		requests, retries float64
	}
}

// Set sets the fleet's budget and the number of entries that share it. A larger number of
// before counts for another window, since some entries may be unknown but still at work.
func (b *RetryBudget) Set(a RetryBudgetConfig, entries int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.startedAt.IsZero() {
		b.startedAt = now
	}
	b.config = a
	if entries < b.entries {
		b.formerEntries, b.formerUntil = b.sharers(now), now.Add(a.Window)
	}
	b.entries = max(entries, 1)
}

// bucket returns the usage of a service and the number of the current interval, and
// clears the counts of an earlier interval in the same bucket. The caller holds the
// lock.
func (b *RetryBudget) bucket(service string, now time.Time) (s *usage, interval int64) {
	if b.services == nil {
		b.services = make(map[string]*usage)
	}
	s, ok := b.services[service]
	if !ok {
		s = &usage{highest: math.MaxInt}
		b.services[service] = s
	}
	interval = firstInterval
	if !b.startedAt.IsZero() {
		interval += int64(now.Sub(b.startedAt) / max(b.config.Window/windowIntervals, 1))
	}
	if p := &s.buckets[interval%budgetBuckets]; p.interval != interval {
		p.interval, p.requests, p.retries = interval, 0, 0
	}
	return s, interval
}

// RecordRequest counts a request to a service. repeatShare is the probability that it
// counts as a repeat, since a run that was itself a repeat made it.
func (b *RetryBudget) RecordRequest(service string, priority int, repeatShare float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, interval := b.bucket(service, now)
	s.highest, s.lowest = min(s.highest, priority), max(s.lowest, priority)
	p := &s.buckets[interval%budgetBuckets]
	p.requests += 1 - repeatShare
	p.retries += repeatShare
}

// TryRetry takes one retry of a call out of the budget and reports whether there was
// one left. A client that asks again may use the whole budget.
func (b *RetryBudget) TryRetry(service string, priority int, clientRetry bool, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, interval := b.bucket(service, now)
	limit, retries := b.windowTotals(s, interval, now)
	switch {
	case clientRetry:
	case s.highest < s.lowest && priority == s.lowest:
		limit *= lowestPriorityShare
	default:
		limit *= otherPriorityShare
	}
	if retries+1 > limit {
		return false
	}
	s.buckets[interval%budgetBuckets].retries++
	return true
}

// windowTotals returns the retries that the window allows for a service, and those
// already made in it. The caller holds the lock.
func (b *RetryBudget) windowTotals(s *usage, interval int64, now time.Time) (limit, retries float64) {
	var requests float64
	for _, p := range s.buckets {
		age := interval - p.interval
		if age < windowIntervals {
			requests += p.requests
		}
		if age <= windowIntervals {
			retries += p.retries
		}
	}
	return budgetShare * (b.config.Ratio*requests + b.minRetries(now)), retries
}

// sharers returns the number of entries that share the budget. The caller holds the lock.
func (b *RetryBudget) sharers(now time.Time) int {
	if now.Before(b.formerUntil) {
		return max(b.entries, b.formerEntries, 1)
	}
	return max(b.entries, 1)
}

// minRetries returns this entry's share of the retries that are allowed regardless of
// requests. An entry that starts again has none for a whole window, since it does not know
// what it spent before. The caller holds the lock.
func (b *RetryBudget) minRetries(now time.Time) float64 {
	if !b.FirstStart && now.Before(b.startedAt.Add(b.config.Window)) {
		return 0
	}
	return b.config.MinRetries / float64(b.sharers(now))
}

// Remaining returns the retries left for the service that has fewest, or this entry's share
// of MinRetries before the first request.
func (b *RetryBudget) Remaining(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	least := math.Inf(1)
	for service := range b.services {
		s, interval := b.bucket(service, now)
		limit, retries := b.windowTotals(s, interval, now)
		least = min(least, limit-retries)
	}
	if math.IsInf(least, 1) {
		return budgetShare * b.minRetries(now)
	}
	return least
}
