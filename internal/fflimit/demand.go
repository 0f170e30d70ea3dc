package fflimit

import (
	"math"
	"time"
)

// rateWindow is the time constant of eventRate.
const rateWindow = time.Second

// eventRate is an exponentially decaying average of events per second. The zero value
// is a rate of zero.
type eventRate struct {
	average   float64
	updatedAt time.Time
}

// add counts n events.
func (r *eventRate) add(n float64, now time.Time) {
	r.average = r.rate(now) + n/rateWindow.Seconds()
	r.updatedAt = now
}

// rate returns the events per second.
func (r *eventRate) rate(now time.Time) float64 {
	if r.updatedAt.IsZero() || !now.After(r.updatedAt) {
		return r.average
	}
	return r.average * math.Exp(-float64(now.Sub(r.updatedAt))/float64(rateWindow))
}
