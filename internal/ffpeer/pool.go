package ffpeer

import (
	"context"
	"net"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcwire"
)

const (
	// defaultMaxConnections bounds the connections that a pool or a server has open.
	defaultMaxConnections = 512
	// defaultMaxIdle bounds the idle connections that a pool keeps, below the bound of all.
	defaultMaxIdle = 128
	// idlePerPeer bounds the idle connections that a pool keeps to one peer.
	idlePerPeer = 4
	// idleTimeout is the time after which a pool closes an idle connection; below
	// inactivityTimeout, so that the client closes first.
	idleTimeout = 30 * time.Second
	// inactivityTimeout is the time after which a server closes an idle connection.
	inactivityTimeout = 45 * time.Second
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// defaultMaxMessageBytes bounds one message: a whole manifest, and room for the rest.
	defaultMaxMessageBytes = 2 << 20
)

// keepAlive finds connections whose other end is lost while they are idle.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}

// Pool holds a bounded number of connections to other daemons. The zero value is ready.
type Pool struct {
	// Meter counts the bytes; a meter of its own when nil.
	Meter *Meter
	// MaxConnections bounds the open connections; 512 when zero.
	MaxConnections int
	// MaxIdle bounds the idle connections; 128 when zero.
	MaxIdle int
	// MaxMessageBytes bounds one message; 2 MiB when zero.
	MaxMessageBytes int
	// DialContext opens a connection; TCP when nil.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)

	once  sync.Once
	idle  *drpcpool.Pool[string, *drpcconn.Conn]
	slots chan struct{}
	retry retryTimes
}

func (p *Pool) init() {
	if p.Meter == nil {
		p.Meter = &Meter{}
	}
	if p.MaxConnections == 0 {
		p.MaxConnections = defaultMaxConnections
	}
	if p.MaxIdle == 0 {
		p.MaxIdle = min(defaultMaxIdle, p.MaxConnections/2+1)
	}
	if p.MaxMessageBytes == 0 {
		p.MaxMessageBytes = defaultMaxMessageBytes
	}
	if p.DialContext == nil {
		dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}
		p.DialContext = dialer.DialContext
	}
	p.slots = make(chan struct{}, p.MaxConnections)
	p.idle = drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{
		Expiration:  idleTimeout,
		Capacity:    p.MaxIdle,
		KeyCapacity: idlePerPeer,
	})
}

// Conn returns a connection to the daemon at the address. It takes an idle one
// or dials when a call is made; several calls at once use several connections.
// A call whose context ends closes its connection, so that a silent one is replaced.
func (p *Pool) Conn(ctx context.Context, address string) (drpc.Conn, error) {
	p.once.Do(p.init)
	return p.idle.Get(ctx, address, p.dial), nil
}

func (p *Pool) dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	if !p.retry.allowed(address, time.Now()) {
		return nil, &Error{Op: "dial", Kind: KindBackoff, Address: address, Err: errBackoff}
	}
	select {
	case p.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, &Error{Op: "dial", Kind: KindBusy, Address: address, Err: ctx.Err()}
	}
	c, err := p.DialContext(ctx, "tcp", address)
	if err != nil {
		<-p.slots
		p.retry.failed(address, time.Now())
		return nil, &Error{Op: "dial", Kind: KindDial, Address: address, Err: err}
	}
	p.retry.succeeded(address)
	return drpcconn.NewWithOptions(newConn(c, p.Meter, p.slots), drpcconn.Options{Manager: managerOptions(p.MaxMessageBytes)}), nil
}

// Drop closes the idle connections to the address, and reports whether it makes
// sense to dial anew: not while the address is left alone after a failure.
func (p *Pool) Drop(address string) bool {
	p.once.Do(p.init)
	for {
		c, ok := p.idle.Take(address)
		if !ok {
			return p.retry.allowed(address, time.Now())
		}
		_ = c.Close()
	}
}

// Close closes the idle connections.
func (p *Pool) Close() error {
	p.once.Do(p.init)
	return p.idle.Close()
}

func managerOptions(maxMessageBytes int) drpcmanager.Options {
	return drpcmanager.Options{
		Reader:            drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		InactivityTimeout: inactivityTimeout,
	}
}
