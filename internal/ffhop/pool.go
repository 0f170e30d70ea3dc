package ffhop

import (
	"context"
	"net"
	"sync"
	"time"
)

// Pool keeps idle connections to one address. The zero value needs Address.
type Pool struct {
	Address string
	Dialer  *net.Dialer
	// MaxIdle bounds the idle connections that are kept.
	MaxIdle int

	mu   sync.Mutex
	idle []*Conn
}

// Get returns a connection that was used within maxIdle, or a fresh one.
func (p *Pool) Get(ctx context.Context, maxIdle time.Duration) (*Conn, error) {
	for {
		c := p.pop()
		if c == nil {
			break
		}
		now := time.Now()
		if now.Sub(c.idle) > maxIdle {
			p.push(c)
			break
		}
		if now.Before(c.expires) && c.quiet() {
			return c, nil
		}
		c.Close()
	}
	n, err := p.Dialer.DialContext(ctx, "tcp", p.Address)
	if err != nil {
		return nil, &Error{Op: "connect to " + p.Address, Kind: KindDial, Err: err}
	}
	return newConn(n), nil
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
	if len(p.idle) < p.MaxIdle {
		p.idle = append(p.idle, c)
		return
	}
	oldest := p.idle[0]
	copy(p.idle, p.idle[1:])
	p.idle[len(p.idle)-1] = c
	oldest.Close()
}

// Put keeps a connection for the next exchange until expires.
func (p *Pool) Put(c *Conn, expires time.Time) {
	c.Fresh = false
	c.idle = time.Now()
	c.expires = expires
	p.push(c)
}

// Clear closes every idle connection.
func (p *Pool) Clear() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}

// Trim closes the idle connections that are past their time.
func (p *Pool) Trim(now time.Time) {
	p.mu.Lock()
	var kept, gone []*Conn
	for _, c := range p.idle {
		if now.Before(c.expires) {
			kept = append(kept, c)
		} else {
			gone = append(gone, c)
		}
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range gone {
		c.Close()
	}
}
