package ffqueue

import (
	"time"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// Service times that are assumed for the fair order while none was measured.
const (
	unknownShortCost = 10 * time.Millisecond
	unknownLongCost  = time.Second
	minimumCost      = 100 * time.Microsecond
)

// Weights of a new sample.
const (
	meanWeight   = 0.1
	quantileStep = 0.05
)

// Quantiles of the service times that are followed.
const (
	fastPart = 0.1
	slowPart = 0.9
)

// minimumValidity is the shortest time for which a measured service time counts.
const minimumValidity = time.Second

// maxRoutes bounds the routes that an estimator remembers.
const maxRoutes = 4096

// Estimate is what is known of the service time of a call.
type Estimate struct {
	// Cost is the slot time that the fair order charges; above zero.
	Cost time.Duration
	// Mean is the measured mean; zero when it is not known.
	Mean time.Duration
	// Fast is the measured tenth percentile; zero when it is not known.
	Fast time.Duration
	// Slow is the measured ninetieth percentile; zero when it is not known.
	Slow time.Duration
}

// Estimator measures service times by route. An estimate that gets no new
// samples expires, so that a slow moment cannot refuse calls for good. The zero
// value knows nothing.
type Estimator struct {
	routes map[string]*routeTimes
}

type routeTimes struct {
	mean       float64
	fast       float64
	slow       float64
	validUntil time.Time
}

// Observe adds the service time of one call.
func (e *Estimator) Observe(now time.Time, route string, elapsed time.Duration) {
	if e.routes == nil || len(e.routes) >= maxRoutes {
		e.routes = make(map[string]*routeTimes)
	}
	x := max(elapsed, minimumCost).Seconds()
	r, ok := e.routes[route]
	if !ok || now.After(r.validUntil) {
		r = &routeTimes{mean: x, fast: x, slow: x}
		e.routes[route] = r
	}
	r.mean += meanWeight * (x - r.mean)
	r.fast = follow(r.fast, x, fastPart)
	r.slow = follow(r.slow, x, slowPart)
	r.validUntil = now.Add(max(minimumValidity, 2*seconds(r.mean)))
}

// follow moves an estimate of the quantile p in proportion towards sample x.
func follow(q, x, p float64) float64 {
	if x > q {
		return min(x, q*(1+quantileStep*p))
	}
	return max(x, q*(1-quantileStep*(1-p)))
}

// Estimate returns what is known of the service time of a route.
func (e *Estimator) Estimate(now time.Time, route string, class ffconfig.Class) Estimate {
	r, ok := e.routes[route]
	if ok && !now.After(r.validUntil) {
		return Estimate{Cost: max(seconds(r.mean), minimumCost), Mean: seconds(r.mean), Fast: seconds(r.fast), Slow: seconds(r.slow)}
	}
	if class == ffconfig.ClassLong {
		return Estimate{Cost: unknownLongCost}
	}
	return Estimate{Cost: unknownShortCost}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
