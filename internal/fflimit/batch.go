package fflimit

import "time"

// batch is a number of tokens that may be used until a time.
type batch struct {
	tokens int
	until  time.Time
}

// batches holds the tokens of the latest two grants.
type batches struct {
	older, newer batch
}

// add takes in a new batch; the oldest gives way.
func (b *batches) add(next batch, now time.Time) {
	if b.newer.left(now) > 0 {
		b.older = b.newer
	}
	b.newer = next
}

// take uses one token and reports whether there was one.
func (b *batches) take(now time.Time) bool {
	for _, one := range []*batch{&b.older, &b.newer} {
		if one.left(now) > 0 {
			one.tokens--
			return true
		}
	}
	return false
}

// left returns the tokens that may still be used.
func (b *batches) left(now time.Time) int { return b.older.left(now) + b.newer.left(now) }

func (b *batch) left(now time.Time) int {
	if !now.Before(b.until) {
		return 0
	}
	return b.tokens
}
