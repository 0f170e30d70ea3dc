package ffqueue

import (
	"time"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// Slot time charged to a call while its route has no measured service time, and
// the least that is ever charged.
const (
	defaultShortCost = 10 * time.Millisecond
	defaultLongCost  = time.Second
	minimumCost      = 100 * time.Microsecond
)

// Weight of a new sample in the mean, and factor for the relative change of a
// quantile by one sample.
const (
	meanWeight   = 0.1
	quantileStep = 0.05
)

// Quantiles of the service times that are estimated.
const (
	lowQuantile  = 0.1
	highQuantile = 0.9
)

// minimumValidity is the shortest time for which an estimate is used after its
// last sample.
const minimumValidity = time.Second

// maxRoutes bounds the routes of an estimator; at the bound all estimates are
// discarded.
const maxRoutes = 4096

// Estimate describes the expected service time of a call.
type Estimate struct {
	// Cost is the slot time that fair queueing charges to the flow; above zero.
	Cost time.Duration
	// Mean is the measured mean; zero when unknown.
	Mean time.Duration
	// P10 is the measured 10th percentile; zero when unknown.
	P10 time.Duration
	// P90 is the measured 90th percentile; zero when unknown.
	P90 time.Duration
}

// Estimator estimates service times by route. An estimate without new samples
// expires: after a slow period the estimates could otherwise cause every call to
// be refused, and without calls there would never be new samples. The zero value
// has no estimates.
type Estimator struct {
	routes map[string]*routeStats
}

type routeStats struct {
	mean       float64
	low        float64
	high       float64
	validUntil time.Time
}

// Observe adds the service time of one call.
func (e *Estimator) Observe(now time.Time, route string, elapsed time.Duration) {
	if e.routes == nil || len(e.routes) >= maxRoutes {
		e.routes = make(map[string]*routeStats)
	}
	sample := max(elapsed, minimumCost).Seconds()
	r, ok := e.routes[route]
	if !ok || now.After(r.validUntil) {
		r = &routeStats{mean: sample, low: sample, high: sample}
		e.routes[route] = r
	}
	r.mean += meanWeight * (sample - r.mean)
	r.low = updateQuantile(r.low, sample, lowQuantile)
	r.high = updateQuantile(r.high, sample, highQuantile)
	r.validUntil = now.Add(max(minimumValidity, 2*seconds(r.mean)))
}

// updateQuantile moves the estimate q of the quantile p towards a sample, by a
// step in proportion to q.
func updateQuantile(q, sample, p float64) float64 {
	if sample > q {
		return min(sample, q*(1+quantileStep*p))
	}
	return max(sample, q*(1-quantileStep*(1-p)))
}

// Estimate returns the estimate for a route, or the default cost of the class when
// there is none.
func (e *Estimator) Estimate(now time.Time, route string, class ffconfig.Class) Estimate {
	r, ok := e.routes[route]
	if ok && !now.After(r.validUntil) {
		return Estimate{Cost: max(seconds(r.mean), minimumCost), Mean: seconds(r.mean), P10: seconds(r.low), P90: seconds(r.high)}
	}
	if class == ffconfig.ClassLong {
		return Estimate{Cost: defaultLongCost}
	}
	return Estimate{Cost: defaultShortCost}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
