package ffoutbound

import (
	"sync"
	"time"
)

// maxTimeoutRoutes limits the routes whose timeouts are remembered.
const maxTimeoutRoutes = 4096

// clientTimeouts remembers the usual client timeout of each route. A client that asks again
// sends the shorter time that it has left, which tells how much it has used. The zero
// value is ready to use.
type clientTimeouts struct {
	mu    sync.Mutex
	usual map[string]*usualTimeout
}

// elapsed returns how much of its time a client with this timeout has already used.
func (c *clientTimeouts) elapsed(route string, timeout time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.usual == nil || len(c.usual) >= maxTimeoutRoutes {
		c.usual = make(map[string]*usualTimeout)
	}
	u, ok := c.usual[route]
	if !ok {
		u = &usualTimeout{}
		c.usual[route] = u
	}
	u.add(timeout)
	return max(u.longest()-timeout, 0)
}
