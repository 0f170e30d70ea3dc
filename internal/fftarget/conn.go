package fftarget

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

var (
	errSealed = errors.New("the connection takes no more of this call")
	errLate   = errors.New("the deadline passed before the first byte")
)

// conn is a connection that knows whether any byte of the current call went
// out, and that can be closed to the call for good.
type conn struct {
	net.Conn

	mu       sync.Mutex
	deadline time.Time
	wrote    bool
	sealed   bool
}

// dial opens a connection to a target.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

// begin starts a call, whose first byte must go out before deadline unless that is zero.
func (c *conn) begin(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = deadline
	c.wrote = false
}

// Write sends p. It looks at the clock right before the first byte of a call,
// because the process may have been paused since the call was accepted.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return 0, errSealed
	}
	if !c.wrote && !c.deadline.IsZero() && !time.Now().Before(c.deadline) {
		return 0, errLate
	}
	n, err := c.Conn.Write(p)
	c.wrote = c.wrote || n > 0
	return n, err
}

// abandon closes c and reports whether no byte of the call went out; none will later.
func (c *conn) abandon() bool {
	_ = c.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return !c.wrote
}
