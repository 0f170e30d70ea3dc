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
	// defaultMaxConnections bounds the open connections of a pool or a server.
	defaultMaxConnections = 512
	// defaultMaxIdle bounds the idle connections of a pool; it is below
	// defaultMaxConnections.
	defaultMaxIdle = 128
	// idlePerPeer bounds the idle connections of a pool to one peer.
	idlePerPeer = 4
	// idleTimeout is the time after which a pool closes an idle connection. It is
	// below inactivityTimeout, so that the client closes first.
	idleTimeout = 30 * time.Second
	// inactivityTimeout is the time after which a server closes an idle connection.
	inactivityTimeout = 45 * time.Second
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// defaultMaxMessageBytes bounds one message: a complete manifest with a margin.
	defaultMaxMessageBytes = 2 << 20
)

// keepAlive detects idle connections whose peer is lost.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}

// Pool holds a bounded number of connections to other daemons. The zero value is
// ready to use.
type Pool struct {
	// Meter counts connections and bytes; if nil, the pool creates one.
	Meter *Meter
	// MaxConnections bounds the open connections; 0 means 512.
	MaxConnections int
	// MaxIdle bounds the idle connections; 0 means 128, or MaxConnections/2+1 if that
	// is less.
	MaxIdle int
	// MaxMessageBytes bounds one message; 0 means 2 MiB.
	MaxMessageBytes int
	// DialContext opens a connection; if nil, a net.Dialer does.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)

	once     sync.Once
	idle     *drpcpool.Pool[string, *drpcconn.Conn]
	slots    chan struct{}
	backoffs backoffs
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

// Conn returns a connection to the daemon at address. Each call on it takes an idle
// connection or dials one; concurrent calls use separate connections. A call whose
// context ends closes its connection, so that one whose peer no longer responds is
// replaced.
func (p *Pool) Conn(ctx context.Context, address string) (drpc.Conn, error) {
	p.once.Do(p.init)
	return p.idle.Get(ctx, address, p.dial), nil
}

func (p *Pool) dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	if !p.backoffs.allowed(address, time.Now()) {
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
		p.backoffs.failed(address, time.Now())
		return nil, &Error{Op: "dial", Kind: KindDial, Address: address, Err: err}
	}
	p.backoffs.succeeded(address)
	return drpcconn.NewWithOptions(newConn(c, p.Meter, p.slots), drpcconn.Options{Manager: managerOptions(p.MaxMessageBytes)}), nil
}

// CloseIdle closes the idle connections to address. It reports whether the address may
// be dialled, which is not the case during the backoff after a failed dial.
func (p *Pool) CloseIdle(address string) bool {
	p.once.Do(p.init)
	for {
		c, ok := p.idle.Take(address)
		if !ok {
			return p.backoffs.allowed(address, time.Now())
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
