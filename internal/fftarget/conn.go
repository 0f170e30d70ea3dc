package fftarget

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

var (
	errAbandoned      = errors.New("the call was abandoned")
	errDeadlinePassed = errors.New("the deadline passed before the first byte was sent")
)

// conn is a connection that records whether any byte of the current call was
// written. After abandon it accepts no further writes.
type conn struct {
	net.Conn

	mu        sync.Mutex
	deadline  time.Time
	wrote     bool
	abandoned bool
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

// begin starts a call, whose first byte must be written before deadline; zero means
// no deadline.
func (c *conn) begin(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = deadline
	c.wrote = false
}

// Write sends p. It checks the deadline right before the first byte of a call,
// because the process may have been paused since the call was accepted.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.abandoned {
		return 0, errAbandoned
	}
	if !c.wrote && !c.deadline.IsZero() && !time.Now().Before(c.deadline) {
		return 0, errDeadlinePassed
	}
	n, err := c.Conn.Write(p)
	c.wrote = c.wrote || n > 0
	return n, err
}

// abandon closes c, prevents further writes and reports whether no byte of the
// call was written.
func (c *conn) abandon() bool {
	_ = c.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abandoned = true
	return !c.wrote
}
