package ffqueue

import (
	"math"
	"time"
)

// demandTimeConstant is the time constant of the moving average in shortDemand.
const demandTimeConstant = time.Second

// shortDemand estimates how many slots short calls need, from an exponential
// moving average of the short calls that run or wait. Long calls leave that many
// slots free, because a slot taken by a long call stays occupied for much longer
// than a burst of short calls lasts. The zero value has no observations.
type shortDemand struct {
	mean      float64
	lastCount int
	lastAt    time.Time
}

// observe records that n short calls run or wait from now on.
func (d *shortDemand) observe(now time.Time, n int) {
	if !d.lastAt.IsZero() {
		decay := math.Exp(-now.Sub(d.lastAt).Seconds() / demandTimeConstant.Seconds())
		d.mean = decay*d.mean + (1-decay)*float64(d.lastCount)
	}
	d.lastCount = n
	d.lastAt = now
}

// slots returns the number of slots that short calls need: the average plus its
// square root, as headroom for bursts.
func (d *shortDemand) slots() int { return int(math.Ceil(d.mean + math.Sqrt(d.mean))) }
