package ffbudget

import (
	"math"
	"time"
)

const (
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

// Budget enforces this entry's share of the fleet's retry budget, separately for each
// service. The zero value allows no retries until Set is called. It is not safe for
// concurrent use.
type Budget struct {
	// FirstStart reports whether no entry of the fleet can have made retries before this
	// one started.
	FirstStart bool

	config Config
	// startedAt is when Set was first called.
	startedAt time.Time
	// entries is the number of entries that share the budget. formerEntries is a larger
	// one that counts until formerUntil.
	entries       int
	formerEntries int
	formerUntil   time.Time
	services      map[string]*usage
}

// Set sets the fleet's budget and the number of entries that share it. A larger number of
// before counts for another window, since some entries may be unknown but still at work.
func (b *Budget) Set(c Config, entries int, now time.Time) {
	if b.startedAt.IsZero() {
		b.startedAt = now
	}
	b.config = c
	if entries < b.entries {
		b.formerEntries, b.formerUntil = b.sharers(now), now.Add(c.Window)
	}
	b.entries = max(entries, 1)
}

// usage returns the usage of a service.
func (b *Budget) usage(service string) *usage {
	if b.services == nil {
		b.services = make(map[string]*usage)
	}
	u, ok := b.services[service]
	if !ok {
		u = &usage{highest: math.MaxInt}
		b.services[service] = u
	}
	return u
}

// interval returns the number of the interval at a time.
func (b *Budget) interval(now time.Time) int64 {
	if b.startedAt.IsZero() {
		return firstInterval
	}
	return firstInterval + int64(now.Sub(b.startedAt)/max(b.config.Window/windowIntervals, 1))
}

// RecordRequest counts a request to a service. retryShare is the probability that it
// counts as a retry, since a run that was itself a retry made it.
func (b *Budget) RecordRequest(service string, priority int, retryShare float64, now time.Time) {
	u := b.usage(service)
	u.highest, u.lowest = min(u.highest, priority), max(u.lowest, priority)
	counts := u.at(b.interval(now))
	counts.requests += 1 - retryShare
	counts.retries += retryShare
	counts.ofRuns += retryShare
}

// AllowsRetriedRun reports whether the target beside this entry may run a retry, which makes
// calls that count as retries of the services that are called: each of these still has some
// of the budget, after the calls of the retries that are running there.
func (b *Budget) AllowsRetriedRun(running int, now time.Time) bool {
	interval := b.interval(now)
	for _, u := range b.services {
		limit, retries := b.limit(u, now)
		if u.calledByRetries(interval) && retries+float64(running)+1 > limit {
			return false
		}
	}
	return true
}

// TryRetry takes one retry of a call out of the budget and reports whether there was
// one left. A client that asks again may use the whole budget.
func (b *Budget) TryRetry(service string, priority int, clientRetry bool, now time.Time) bool {
	u := b.usage(service)
	limit, retries := b.limit(u, now)
	switch {
	case clientRetry:
	case u.highest < u.lowest && priority == u.lowest:
		limit *= lowestPriorityShare
	default:
		limit *= otherPriorityShare
	}
	if retries+1 > limit {
		return false
	}
	u.at(b.interval(now)).retries++
	return true
}

// limit returns the retries that the window allows for a service, and those already made
// in it.
func (b *Budget) limit(u *usage, now time.Time) (limit, retries float64) {
	requests, retries := u.totals(b.interval(now))
	return budgetShare * (b.config.Ratio*requests + b.minRetries(now)), retries
}

// sharers returns the number of entries that share the budget.
func (b *Budget) sharers(now time.Time) int {
	if now.Before(b.formerUntil) {
		return max(b.entries, b.formerEntries, 1)
	}
	return max(b.entries, 1)
}

// minRetries returns this entry's share of the retries that are allowed regardless of
// requests. An entry that starts again has none for a whole window, since it does not know
// what it spent before.
func (b *Budget) minRetries(now time.Time) float64 {
	if !b.FirstStart && now.Before(b.startedAt.Add(b.config.Window)) {
		return 0
	}
	return b.config.MinRetries / float64(b.sharers(now))
}

// Remaining returns the retries left for the service that has fewest, or this entry's share
// of MinRetries before the first request.
func (b *Budget) Remaining(now time.Time) float64 {
	least := math.Inf(1)
	for _, u := range b.services {
		limit, retries := b.limit(u, now)
		least = min(least, limit-retries)
	}
	if math.IsInf(least, 1) {
		return budgetShare * b.minRetries(now)
	}
	return least
}
