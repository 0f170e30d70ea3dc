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

// maxUnauthenticated limits the connections on which no customer has authenticated.
const maxUnauthenticated = 512

// connections counts the open connections of each customer. When more than
// maxUnauthenticated have no authenticated customer, it closes the oldest of them
// from the address that has the most. The zero value is empty.
type connections struct {
	mu     sync.Mutex
	owners map[net.Conn]string
	counts map[string]int
	// unauthenticated holds the connections without a customer by remote address,
	// the oldest first; elements holds the list element of each.
	unauthenticated map[netip.Addr]*list.List
	elements        map[net.Conn]*list.Element
}

type connKey struct{}

// connContext adds the connection to the context of its requests.
func (*connections) connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connState adds a new connection and removes a closed one.
func (s *connections) connState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.add(c)
	case http.StateClosed, http.StateHijacked:
		s.remove(c)
	}
}

// add adds a connection without a customer. It closes another when there are too many.
func (s *connections) add(c net.Conn) {
	if s.elements == nil {
		s.elements = make(map[net.Conn]*list.Element)
		s.unauthenticated = make(map[netip.Addr]*list.List)
		s.owners = make(map[net.Conn]string)
		s.counts = make(map[string]int)
	}
	source := sourceOf(c)
	if s.unauthenticated[source] == nil {
		s.unauthenticated[source] = list.New()
	}
	s.elements[c] = s.unauthenticated[source].PushBack(c)
	if len(s.elements) > maxUnauthenticated {
		oldest := s.mostFromOneAddress().Front().Value.(net.Conn)
		s.remove(oldest)
		_ = oldest.Close()
	}
}

// mostFromOneAddress returns the unauthenticated connections of the address that
// has the most.
func (s *connections) mostFromOneAddress() *list.List {
	var longest *list.List
	for _, l := range s.unauthenticated {
		if longest == nil || l.Len() > longest.Len() {
			longest = l
		}
	}
	return longest
}

// removeUnauthenticated removes a connection from those without a customer.
func (s *connections) removeUnauthenticated(c net.Conn) {
	element, ok := s.elements[c]
	if !ok {
		return
	}
	source := sourceOf(c)
	s.unauthenticated[source].Remove(element)
	if s.unauthenticated[source].Len() == 0 {
		delete(s.unauthenticated, source)
	}
	delete(s.elements, c)
}

// sourceOf returns the remote IP address of a connection; zero when it is not TCP.
func sourceOf(c net.Conn) netip.Addr {
	if tcp, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

func (s *connections) remove(c net.Conn) {
	s.removeUnauthenticated(c)
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

// assign counts the connection of a request towards the customer's limit. It
// returns a refusal when the contract allows no more connections.
func (s *connections) assign(ctx context.Context, contract *ffconfig.Contract) error {
	c, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	owner, assigned := s.owners[c]
	if assigned && owner == contract.Customer {
		return nil
	}
	if _, tracked := s.elements[c]; !tracked && !assigned {
		return ffcall.Refuse("connect", ffcall.KindOverload, merry.New("the connection was closed because too many are unauthenticated"))
	}
	if s.counts[contract.Customer] >= contract.MaxConnections {
		return ffcall.Refuse("connect", ffcall.KindLimit, merry.Errorf("customer %s has reached its limit of %d open connections", contract.Customer, contract.MaxConnections))
	}
	s.remove(c)
	s.owners[c] = contract.Customer
	s.counts[contract.Customer]++
	return nil
}
