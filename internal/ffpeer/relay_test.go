package ffpeer_test

import (
	"net"
	"sync"
	"testing"
)

// relay forwards connections to target. Silenced connections stay open, and their
// data is dropped.
type relay struct {
	listener net.Listener
	target   string
	wg       sync.WaitGroup

	mu         sync.Mutex
	conns      []*relayed
	silenceAll bool
}

type relayed struct {
	client, server net.Conn
	mu             sync.Mutex
	silent         bool
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: listener, target: target}
	r.wg.Go(r.run)
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) run() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		r.mu.Lock()
		c := &relayed{client: client, server: server, silent: r.silenceAll}
		r.conns = append(r.conns, c)
		r.mu.Unlock()
		r.wg.Go(func() { c.copy(client, server) })
		r.wg.Go(func() { c.copy(server, client) })
	}
}

func (c *relayed) copy(from, to net.Conn) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		c.mu.Lock()
		silent := c.silent
		c.mu.Unlock()
		if err != nil {
			_ = to.Close()
			return
		}
		if !silent {
			_, _ = to.Write(buf[:n])
		}
	}
}

// silence drops all further data of the open connections.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
}

// silenceNew drops all data of new connections.
func (r *relay) silenceNew() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silenceAll = true
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	for _, c := range r.conns {
		_ = c.client.Close()
		_ = c.server.Close()
	}
	r.mu.Unlock()
	r.wg.Wait()
}
