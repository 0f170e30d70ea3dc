package ffcaller

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// maxUnclaimed bounds the connections that no customer has authenticated on.
const maxUnclaimed = 512

// connections counts the open connections of each customer. When there are too
// many on which no customer has authenticated, it closes the oldest one of the
// address that has the most of them. The zero value is empty.
type connections struct {
	mu     sync.Mutex
	owners map[net.Conn]string
	counts map[string]int
	// unclaimed holds the connections without a customer by the caller's address,
	// the oldest first, and places where each is in its list.
	unclaimed map[netip.Addr]*list.List
	places    map[net.Conn]*list.Element
}

type connKey struct{}

// connContext makes the connection of a request known to its handler.
func (*connections) connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connState takes up a new connection and forgets one that has ended.
func (s *connections) connState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.add(c)
	case http.StateClosed, http.StateHijacked:
		s.forget(c)
	}
}

// add takes up a connection without a customer.
func (s *connections) add(c net.Conn) {
	if s.places == nil {
		s.places = make(map[net.Conn]*list.Element)
		s.unclaimed = make(map[netip.Addr]*list.List)
		s.owners = make(map[net.Conn]string)
		s.counts = make(map[string]int)
	}
	source := sourceOf(c)
	if s.unclaimed[source] == nil {
		s.unclaimed[source] = list.New()
	}
	s.places[c] = s.unclaimed[source].PushBack(c)
	if len(s.places) > maxUnclaimed {
		oldest := s.longest().Front().Value.(net.Conn)
		s.forget(oldest)
		_ = oldest.Close()
	}
}

// longest returns the unclaimed connections of the address that has the most.
func (s *connections) longest() *list.List {
	var longest *list.List
	for _, l := range s.unclaimed {
		if longest == nil || l.Len() > longest.Len() {
			longest = l
		}
	}
	return longest
}

// unclaim takes a connection out of those without a customer.
func (s *connections) unclaim(c net.Conn) {
	place, ok := s.places[c]
	if !ok {
		return
	}
	source := sourceOf(c)
	s.unclaimed[source].Remove(place)
	if s.unclaimed[source].Len() == 0 {
		delete(s.unclaimed, source)
	}
	delete(s.places, c)
}

// sourceOf returns the address of a connection's caller.
func sourceOf(c net.Conn) netip.Addr {
	if tcp, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

func (s *connections) forget(c net.Conn) {
	s.unclaim(c)
	owner, ok := s.owners[c]
	if !ok {
		return
	}
	delete(s.owners, c)
	s.counts[owner]--
	if s.counts[owner] == 0 {
		delete(s.counts, owner)
	}
}

// claim counts the connection of a request as one of the customer's, and
// refuses it when the contract allows no more.
func (s *connections) claim(ctx context.Context, contract *ffconfig.Contract) error {
	c, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	owner, claimed := s.owners[c]
	if claimed && owner == contract.Customer {
		return nil
	}
	if _, waits := s.places[c]; !waits && !claimed {
		return ffcall.Refuse("connect", ffcall.KindOverload, merry.New("the connection was closed to make room"))
	}
	if s.counts[contract.Customer] >= contract.MaxConnections {
		return ffcall.Refuse("connect", ffcall.KindLimit, merry.Errorf("customer %s has %d connections open, the contract allows no more", contract.Customer, contract.MaxConnections))
	}
	s.forget(c)
	s.owners[c] = contract.Customer
	s.counts[contract.Customer]++
	return nil
}
