package ffrelay

import (
	"net"
	"sync"
)

// link is one proxied connection with a pipe for each direction.
type link struct {
	relay    *Relay
	client   net.Conn
	upstream net.Conn
	pipes    [2]*pipe
	// closed is closed when the connections are closed.
	closed    chan struct{}
	closeOnce sync.Once
}

func newLink(r *Relay, client, upstream net.Conn) *link {
	l := &link{relay: r, client: client, upstream: upstream, closed: make(chan struct{})}
	l.pipes[0] = newPipe(l, DirectionUpstream, client, upstream)
	l.pipes[1] = newPipe(l, DirectionDownstream, upstream, client)
	return l
}

// run forwards bytes until both directions have ended.
func (l *link) run() {
	var goroutines sync.WaitGroup
	for _, p := range l.pipes {
		goroutines.Go(p.readLoop)
		goroutines.Go(p.writeLoop)
	}
	goroutines.Wait()
	l.close()
}

// silence permanently discards the bytes of the directions that f applies to.
func (l *link) silence(f Fault) {
	for _, p := range l.pipes {
		if f.appliesTo(p.direction) {
			p.silent.Store(true)
		}
	}
}

// reset closes both connections with a TCP reset, so that the peers get an error.
func (l *link) reset() {
	l.closeOnce.Do(func() {
		close(l.closed)
		reset(l.client)
		reset(l.upstream)
	})
}

// close closes both connections without forcing a TCP reset.
func (l *link) close() {
	l.closeOnce.Do(func() {
		close(l.closed)
		_ = l.client.Close()
		_ = l.upstream.Close()
	})
}

// reset closes c with a TCP reset (linger 0).
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
