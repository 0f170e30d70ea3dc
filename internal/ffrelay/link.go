package ffrelay

import (
	"net"
	"sync"
)

// link is one connection with its two directions.
type link struct {
	relay    *Relay
	client   net.Conn
	upstream net.Conn
	pipes    [2]*pipe
	ended    chan struct{}
	end      sync.Once
}

func newLink(r *Relay, client, upstream net.Conn) *link {
	l := &link{relay: r, client: client, upstream: upstream, ended: make(chan struct{})}
	l.pipes[0] = newPipe(l, DirectionUpstream, client, upstream)
	l.pipes[1] = newPipe(l, DirectionClient, upstream, client)
	return l
}

// run passes bytes in both directions until both have ended.
func (l *link) run() {
	var loops sync.WaitGroup
	for _, p := range l.pipes {
		loops.Go(p.run)
		loops.Go(p.loop)
	}
	loops.Wait()
	l.close()
}

// silence makes the directions that f concerns silent for good.
func (l *link) silence(f Fault) {
	for _, p := range l.pipes {
		if f.concerns(p.direction) {
			p.silent.Store(true)
		}
	}
}

// reset ends both connections so that their ends see an error.
func (l *link) reset() {
	l.end.Do(func() {
		close(l.ended)
		reset(l.client)
		reset(l.upstream)
	})
}

// close ends both connections so that their ends see the end of the stream.
func (l *link) close() {
	l.end.Do(func() {
		close(l.ended)
		_ = l.client.Close()
		_ = l.upstream.Close()
	})
}

// reset closes c with a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
