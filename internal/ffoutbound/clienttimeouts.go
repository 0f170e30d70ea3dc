package ffoutbound

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// maxTimeoutRoutes limits the routes whose timeouts are remembered.
	maxTimeoutRoutes = 4096
	// recentTimeouts is the number of client timeouts that are remembered for each route.
	recentTimeouts = 64
	// patientShare is the share of a route's requests that may come from clients that wait
	// longer than all others.
	patientShare = 0.06
)

// clientTimeouts remembers the recent client timeouts of each route. A client that asks
// again sends the shorter time that it has left, which tells how much it has used. The zero
// value is ready to use.
type clientTimeouts struct {
	mu     sync.Mutex
	recent map[string]*timeoutRing
}

// timeoutRing holds the latest client timeouts of a route.
type timeoutRing struct {
	values [recentTimeouts]time.Duration
	count  int
}

// elapsed returns how much of its time a client with this timeout has already used.
func (c *clientTimeouts) elapsed(route string, timeout time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.recent == nil || len(c.recent) >= maxTimeoutRoutes {
		c.recent = make(map[string]*timeoutRing)
	}
	ring, ok := c.recent[route]
	if !ok {
		ring = &timeoutRing{}
		c.recent[route] = ring
	}
	ring.add(timeout)
	return max(ring.first()-timeout, 0)
}

func (r *timeoutRing) add(timeout time.Duration) {
	r.values[r.count%recentTimeouts] = timeout
	r.count++
}

// first returns the timeout that clients usually send with their first request: the longest
// one but those of patient clients.
func (r *timeoutRing) first() time.Duration {
	sorted := r.values
	n := min(r.count, recentTimeouts)
	slices.SortFunc(sorted[:n], func(a, b time.Duration) int { return int(b - a) })
	patient := int(math.Ceil(patientShare * float64(n)))
	return sorted[min(patient, n-1)]
}
