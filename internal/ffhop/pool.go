package ffhop

import (
	"context"
	"net"
	"sync"
	"time"
)

// Pool keeps idle connections to one address. Address, Dialer and a positive
// MaxIdle must be set.
type Pool struct {
	Address string
	Dialer  *net.Dialer
	// MaxIdle bounds the number of idle connections.
	MaxIdle int

	mu   sync.Mutex
	idle []*Conn
}

// MoveTo makes p connect to another address from now on. Connections to the old one are
// not reused.
func (p *Pool) MoveTo(address string) {
	p.mu.Lock()
	p.Address = address
	p.mu.Unlock()
	p.CloseIdle()
}

func (p *Pool) address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.Address
}

// Get returns a connection that has been idle for at most maxIdle, or dials a new
// one.
func (p *Pool) Get(ctx context.Context, maxIdle time.Duration) (*Conn, error) {
	for {
		c := p.pop()
		if c == nil {
			break
		}
		now := time.Now()
		if now.Sub(c.idleSince) > maxIdle {
			p.push(c)
			break
		}
		if now.Before(c.expires) && c.reusable() {
			return c, nil
		}
		c.Close()
	}
	address := p.address()
	n, err := p.Dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &Error{Op: "connect to " + address, Kind: KindDial, Err: err}
	}
	return newConn(n, address), nil
}

// Check connects to the address unless there is an idle connection that can be reused, and
// keeps the connection for the next call. It returns why that failed.
func (p *Pool) Check(ctx context.Context, maxIdle time.Duration, expires time.Time) error {
	c, err := p.Get(ctx, maxIdle)
	if err != nil {
		return err
	}
	if c.Unused {
		c.idleSince, c.expires = time.Now(), expires
	}
	p.push(c)
	return nil
}

func (p *Pool) pop() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

func (p *Pool) push(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.address != p.Address {
		c.Close()
		return
	}
	if len(p.idle) < p.MaxIdle {
		p.idle = append(p.idle, c)
		return
	}
	oldest := p.idle[0]
	copy(p.idle, p.idle[1:])
	p.idle[len(p.idle)-1] = c
	oldest.Close()
}

// Put returns a connection to the pool, where it can be reused until expires. If
// the pool is full, the oldest idle connection is closed.
func (p *Pool) Put(c *Conn, expires time.Time) {
	c.Unused = false
	c.idleSince = time.Now()
	c.expires = expires
	p.push(c)
}

// CloseIdle closes every idle connection.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}

// CloseExpired closes the idle connections that have expired.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	var kept, expired []*Conn
	for _, c := range p.idle {
		if now.Before(c.expires) {
			kept = append(kept, c)
		} else {
			expired = append(expired, c)
		}
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range expired {
		c.Close()
	}
}
