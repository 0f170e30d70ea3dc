package ffrelay

import (
	"net"
	"net/netip"
	"sync"
)

// Split proxies connections through one relay per source IP address, so that faults can
// be applied to some sources only.
type Split struct {
	listener   net.Listener
	upstream   string
	goroutines sync.WaitGroup

	mu     sync.Mutex
	relays map[netip.Addr]*Relay
}

// NewSplit returns a Split that listens on one address (host and port) and forwards
// connections to upstream (host and port).
func NewSplit(listen, upstream string) (*Split, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, &Error{Op: "listen", Kind: KindListen, Err: err}
	}
	s := &Split{listener: listener, upstream: upstream, relays: make(map[netip.Addr]*Relay)}
	s.goroutines.Go(s.acceptLoop)
	return s, nil
}

// Address returns the host and port that the Split listens on.
func (s *Split) Address() string { return s.listener.Addr().String() }

// ForSource returns the relay for connections from a source address and creates it if needed.
func (s *Split) ForSource(source netip.Addr) *Relay {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.relays[source]
	if !ok {
		r = &Relay{detached: true, upstream: s.upstream, links: make(map[*link]struct{}), changed: make(chan struct{})}
		s.relays[source] = r
	}
	return r
}

// Close resets every connection and waits until all of their goroutines have ended.
func (s *Split) Close() {
	_ = s.listener.Close()
	s.goroutines.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.relays {
		r.Close()
	}
}

// acceptLoop accepts connections until the listener is closed.
func (s *Split) acceptLoop() {
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
		r := s.ForSource(source.Addr().Unmap())
		r.goroutines.Go(func() { r.serve(client) })
	}
}
