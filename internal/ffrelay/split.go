package ffrelay

import (
	"net"
	"net/netip"
	"sync"
)

// Split passes connections on through one relay for each source address, so
// that faults bear on some sources and not on others.
type Split struct {
	listener net.Listener
	upstream string
	loops    sync.WaitGroup

	mu     sync.Mutex
	relays map[netip.Addr]*Relay
}

// NewSplit returns a split that listens on one address (host and port) and
// passes connections on to another.
func NewSplit(listen, upstream string) (*Split, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, &Error{Op: "listen", Kind: KindListen, Err: err}
	}
	s := &Split{listener: listener, upstream: upstream, relays: make(map[netip.Addr]*Relay)}
	s.loops.Go(s.loop)
	return s, nil
}

// Address returns the host and port that the split listens on.
func (s *Split) Address() string { return s.listener.Addr().String() }

// From returns the relay that connections from a source take.
func (s *Split) From(source netip.Addr) *Relay {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.relays[source]
	if !ok {
		r = &Relay{detached: true, upstream: s.upstream, links: make(map[*link]struct{}), changed: make(chan struct{})}
		s.relays[source] = r
	}
	return r
}

// Close resets every connection and waits until all are gone.
func (s *Split) Close() {
	_ = s.listener.Close()
	s.loops.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.relays {
		r.Close()
	}
}

// loop accepts connections until the listener is closed.
func (s *Split) loop() {
	for {
		client, err := s.listener.Accept()
		if err != nil {
			return
		}
		source, err := netip.ParseAddrPort(client.RemoteAddr().String())
		if err != nil {
			reset(client)
			continue
		}
		r := s.From(source.Addr().Unmap())
		r.loops.Go(func() { r.pass(client) })
	}
}
