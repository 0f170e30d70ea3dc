package ffforward

import (
	"sync"
	"time"
)

const (
	// maxIdle is the maximum number of idle connections to one daemon.
	maxIdle = 16
	// maxIdleTotal is the maximum number of idle connections to all daemons.
	maxIdleTotal = 1024
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 30 * time.Second
)

// pool keeps idle connections by address. The zero value is empty.
type pool struct {
	mu     sync.Mutex
	idle   map[string][]*conn
	total  int
	closed bool
}

// take returns an idle connection to address, or nil if there is none.
func (p *pool) take(address string, now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		n := len(p.idle[address])
		if n == 0 {
			return nil
		}
		c := p.idle[address][n-1]
		p.idle[address] = p.idle[address][:n-1]
		p.total--
		if usable(c, now) {
			return c
		}
		_ = c.Close()
	}
}

func usable(c *conn, now time.Time) bool {
	select {
	case <-c.Closed():
		return false
	default:
		return now.Before(c.idleUntil) && now.Before(c.expiresAt)
	}
}

// put adds an idle connection to the pool, or closes it if the pool is full or closed.
func (p *pool) put(address string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.total >= maxIdleTotal || len(p.idle[address]) >= maxIdle {
		_ = c.Close()
		return
	}
	if p.idle == nil {
		p.idle = make(map[string][]*conn)
	}
	c.idleUntil = time.Now().Add(idleTimeout)
	p.idle[address] = append(p.idle[address], c)
	p.total++
}

// drop closes every idle connection to address, after one connection to it has
// stopped responding.
func (p *pool) drop(address string) {
	p.mu.Lock()
	conns := p.idle[address]
	delete(p.idle, address)
	p.total -= len(conns)
	p.mu.Unlock()
	closeAll(conns)
}

func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.total = 0
	p.mu.Unlock()
	for _, conns := range idle {
		closeAll(conns)
	}
}

func closeAll(conns []*conn) {
	for _, c := range conns {
		_ = c.Close()
	}
}
