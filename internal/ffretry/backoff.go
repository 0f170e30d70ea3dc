package ffretry

import "time"

// Bounds of the delay between attempts.
const (
	baseDelay = 2 * time.Millisecond
	maxDelay  = 250 * time.Millisecond
)

// fullJitter returns a random delay, uniform between zero and an upper bound
// that doubles with each attempt. random returns a number in [0, 1).
func fullJitter(attempt int, random func() float64) time.Duration {
	ceiling := baseDelay
	for range attempt {
		ceiling = min(2*ceiling, maxDelay)
	}
	return time.Duration(random() * float64(ceiling))
}
