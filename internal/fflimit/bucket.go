package fflimit

import (
	"math"
	"time"
)

// bucket mints tokens at a rate up to a depth. The zero value is empty.
type bucket struct {
	level float64
	at    time.Time
}

// mint adds what the time since the last call brings.
func (b *bucket) mint(rate, depth float64, now time.Time) {
	if !b.at.IsZero() && now.After(b.at) {
		b.level += rate * now.Sub(b.at).Seconds()
	}
	if now.After(b.at) {
		b.at = now
	}
	b.level = min(b.level, depth)
}

// take removes up to n whole tokens and returns their number.
func (b *bucket) take(n int) int {
	n = min(max(n, 0), int(math.Floor(b.level)))
	b.level -= float64(n)
	return n
}

// readyAt returns the time at which one token will be there.
func (b *bucket) readyAt(rate float64, now time.Time) time.Time {
	if b.level >= 1 {
		return now
	}
	return now.Add(time.Duration((1 - b.level) / rate * float64(time.Second)))
}
