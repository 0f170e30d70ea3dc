package ffoutbound

import (
	"sync"
	"time"
)

// maxTimeoutRoutes limits the routes whose timeouts are remembered.
const maxTimeoutRoutes = 4096

// clientTimeouts remembers the longest client timeout of each route. A client that
// asks again sends the shorter time that it has left, which tells how much it has
// used. The zero value is ready to use.
type clientTimeouts struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

// elapsed returns how much of its time a client with this timeout has already used.
func (c *clientTimeouts) elapsed(route string, timeout time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.longest == nil || len(c.longest) >= maxTimeoutRoutes {
		c.longest = make(map[string]time.Duration)
	}
	longest := max(c.longest[route], timeout)
	c.longest[route] = longest
	return longest - timeout
}
