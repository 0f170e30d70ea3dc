package ffgate

import "time"

// Adjustment of the usable slots after the target has shed calls: the factor by
// which they decrease, their minimum, and the shortest time between two decreases.
const (
	decreaseFactor   = 0.7
	minSlots         = 2
	decreaseInterval = 100 * time.Millisecond
)

// limiter decreases the usable slots while the target sheds calls, and increases
// them with each call that ran. The zero value allows every slot.
type limiter struct {
	// reduction is the number of slots that are not used.
	reduction    float64
	nextDecrease time.Time
}

// slots returns the number of usable slots out of all.
func (l *limiter) slots(all int) int {
	return max(int(float64(all)-l.reduction), min(all, minSlots))
}

// decrease reduces the usable slots after the target shed a call. Calls shed within
// decreaseInterval count once.
func (l *limiter) decrease(now time.Time, all int) {
	if now.Before(l.nextDecrease) {
		return
	}
	l.nextDecrease = now.Add(decreaseInterval)
	current := float64(all) - l.reduction
	l.reduction = min(float64(all)-current*decreaseFactor, float64(all-1))
}

// increase raises the usable slots after the target ran a call, by about one slot
// per round of calls.
func (l *limiter) increase(all int) {
	l.reduction = max(0, l.reduction-1/max(float64(all)-l.reduction, 1))
}
