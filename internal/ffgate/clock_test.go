package ffgate_test

import (
	"sync"
	"time"
)

// clock is virtual time in which something may happen between two looks, as it
// does for a process that was paused.
type clock struct {
	mu     sync.Mutex
	offset time.Duration
	looks  int
	event  func()
}

func (c *clock) peek() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Add(c.offset)
}

func (c *clock) now() time.Time {
	c.mu.Lock()
	c.looks--
	happens := c.looks == 0
	c.mu.Unlock()
	if happens {
		c.event()
	}
	return c.peek()
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offset += d
}

// before makes the event happen before the n-th look from now.
func (c *clock) before(n int, event func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.looks, c.event = n, event
}

func (c *clock) calm() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.looks <= 0
}
