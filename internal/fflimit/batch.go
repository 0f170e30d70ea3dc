package fflimit

import "time"

// batch is a number of tokens that may be used until a time.
type batch struct {
	tokens int
	until  time.Time
}

// tokenBatches holds the tokens of the latest two grants.
type tokenBatches struct {
	older, newer batch
}

// add stores a new batch. At most two batches are kept; the oldest is dropped.
func (b *tokenBatches) add(next batch, now time.Time) {
	if b.newer.usable(now) > 0 {
		b.older = b.newer
	}
	b.newer = next
}

// take uses one token, of the older batch first, and reports whether there was one.
func (b *tokenBatches) take(now time.Time) bool {
	for _, current := range []*batch{&b.older, &b.newer} {
		if current.usable(now) > 0 {
			current.tokens--
			return true
		}
	}
	return false
}

// usable returns the number of tokens that may still be used.
func (b *tokenBatches) usable(now time.Time) int { return b.older.usable(now) + b.newer.usable(now) }

func (b *batch) usable(now time.Time) int {
	if !now.Before(b.until) {
		return 0
	}
	return b.tokens
}
