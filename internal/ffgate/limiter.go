package ffgate

import "time"

// Steps of the concurrency that the gate tries after the target has shed calls.
const (
	shedFactor  = 0.7
	minimumTry  = 2
	shedSpacing = 100 * time.Millisecond
)

// limiter lowers the slots that the gate uses while the target sheds calls, and
// raises them with each call that ran. The zero value uses every slot.
type limiter struct {
	lowered float64
	nextCut time.Time
}

// slots returns the number of slots to use out of all.
func (l *limiter) slots(all int) int {
	return max(int(float64(all)-l.lowered), min(all, minimumTry))
}

// shed notes that the target refused a call. Refusals of one moment count once.
func (l *limiter) shed(now time.Time, all int) {
	if now.Before(l.nextCut) {
		return
	}
	l.nextCut = now.Add(shedSpacing)
	tried := float64(all) - l.lowered
	l.lowered = min(float64(all)-tried*shedFactor, float64(all-1))
}

// ran notes that the target ran a call.
func (l *limiter) ran(all int) {
	l.lowered = max(0, l.lowered-1/max(float64(all)-l.lowered, 1))
}
