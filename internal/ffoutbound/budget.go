package ffoutbound

import (
	"math"
	"sync"
	"time"
)

const (
	// budgetParts is the number of parts of the window that are counted apart.
	budgetParts = 20
	// budgetUse is the part of the fleet's budget that entries spend, since calls
	// of repeated runs count as repeats too.
	budgetUse = 0.8
	// lastRankUse is the part of that for calls of a service's last rank, and firstUse
	// that for others, so that they do not use up what clients that return need: a
	// client that is refused comes back once, which is no repeat.
	lastRankUse = 0.5
	firstUse    = 0.7
)

// Allowance is the fleet's budget for repeats of the requests for one service.
type Allowance struct {
	// Ratio is the repeats for each request, Slack those for none, in each Window.
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Budget keeps this entry's share of the fleet's repeats. The zero value needs an
// Allowance.
type Budget struct {
	mu        sync.Mutex
	allowance Allowance
	entries   int
	services  map[string]*spending
}

// spending counts requests and repeats in the parts of the window.
type spending struct {
	// first and last bound the ranks of the calls seen, 0 being the highest.
	first, last int
	parts       [budgetParts]struct {
		number            int64
		requests, repeats float64
	}
}

// Set takes up the fleet's allowance and the number of entries that share it.
func (b *Budget) Set(a Allowance, entries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.allowance = a
	b.entries = max(entries, 1)
}

func (b *Budget) part(service string, now time.Time) (s *spending, number int64) {
	if b.services == nil {
		b.services = make(map[string]*spending)
	}
	s, ok := b.services[service]
	if !ok {
		s = &spending{first: math.MaxInt}
		b.services[service] = s
	}
	number = now.UnixNano() / max(int64(b.allowance.Window)/budgetParts, 1)
	if p := &s.parts[number%budgetParts]; p.number != number {
		p.number, p.requests, p.repeats = number, 0, 0
	}
	return s, number
}

// Request counts a request of a rank for a service.
func (b *Budget) Request(service string, rank int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, number := b.part(service, now)
	s.first, s.last = min(s.first, rank), max(s.last, rank)
	s.parts[number%budgetParts].requests++
}

// Repeat takes one repeat of a call of a rank out of the budget and reports whether
// there was one. All of it is open to clients that return.
func (b *Budget) Repeat(service string, rank int, returns bool, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, number := b.part(service, now)
	most, repeats := b.window(s, number)
	switch {
	case returns:
	case s.first < s.last && rank == s.last:
		most *= lastRankUse
	default:
		most *= firstUse
	}
	if repeats+1 > most {
		return false
	}
	s.parts[number%budgetParts].repeats++
	return true
}

// window returns the repeats that the window allows for a service, and those that
// were spent in it. The caller holds the lock.
func (b *Budget) window(s *spending, number int64) (most, repeats float64) {
	var requests float64
	for _, p := range s.parts {
		if number-p.number < budgetParts {
			requests += p.requests
			repeats += p.repeats
		}
	}
	return budgetUse * (b.allowance.Ratio*requests + b.allowance.Slack/float64(max(b.entries, 1))), repeats
}

// Left returns the repeats that are left for the service that has least, or all of
// the slack's share while none is known.
func (b *Budget) Left(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	least := math.Inf(1)
	for service := range b.services {
		s, number := b.part(service, now)
		most, repeats := b.window(s, number)
		least = min(least, most-repeats)
	}
	if math.IsInf(least, 1) {
		return budgetUse * b.allowance.Slack / float64(max(b.entries, 1))
	}
	return least
}
