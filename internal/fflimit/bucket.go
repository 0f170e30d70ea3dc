package fflimit

import (
	"math"
	"time"
)

// bucket is a token bucket, refilled at a rate up to a depth. The zero value is empty.
type bucket struct {
	level     float64
	updatedAt time.Time
}

// refill adds the tokens for the time since the last call.
func (b *bucket) refill(rate, depth float64, now time.Time) {
	if !b.updatedAt.IsZero() && now.After(b.updatedAt) {
		b.level += rate * now.Sub(b.updatedAt).Seconds()
	}
	if now.After(b.updatedAt) {
		b.updatedAt = now
	}
	b.level = min(b.level, depth)
}

// take removes up to n whole tokens and returns their number.
func (b *bucket) take(n int) int {
	n = min(max(n, 0), int(math.Floor(b.level)))
	b.level -= float64(n)
	return n
}

// nextTokenAt returns the time at which one whole token will be available.
func (b *bucket) nextTokenAt(rate float64, now time.Time) time.Time {
	if b.level >= 1 {
		return now
	}
	return now.Add(time.Duration((1 - b.level) / rate * float64(time.Second)))
}
