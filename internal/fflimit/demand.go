package fflimit

import (
	"math"
	"time"
)

// demandWindow is the time constant of the average demand.
const demandWindow = time.Second

// demand is a running average of events a second. The zero value is none.
type demand struct {
	average float64
	at      time.Time
}

// add counts n events.
func (d *demand) add(n float64, now time.Time) {
	d.average = d.rate(now) + n/demandWindow.Seconds()
	d.at = now
}

// rate returns the events a second.
func (d *demand) rate(now time.Time) float64 {
	if d.at.IsZero() || !now.After(d.at) {
		return d.average
	}
	return d.average * math.Exp(-float64(now.Sub(d.at))/float64(demandWindow))
}
