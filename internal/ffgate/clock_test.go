package ffgate_test

import (
	"sync"
	"time"
)

// clock is a virtual clock that can run an event before one of its readings, to
// simulate what happens while a process is paused between two readings.
type clock struct {
	mu        sync.Mutex
	offset    time.Duration
	readsLeft int
	event     func()
}

// peek returns the time without counting as a reading.
func (c *clock) peek() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Add(c.offset)
}

func (c *clock) now() time.Time {
	c.mu.Lock()
	c.readsLeft--
	due := c.readsLeft == 0
	c.mu.Unlock()
	if due {
		c.event()
	}
	return c.peek()
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offset += d
}

// runBeforeRead runs the event before the n-th reading from now.
func (c *clock) runBeforeRead(n int, event func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readsLeft, c.event = n, event
}

func (c *clock) noEventPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readsLeft <= 0
}
