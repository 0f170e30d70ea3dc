package ffcaller

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// maxUnclaimed bounds the connections that no customer has authenticated on.
const maxUnclaimed = 512

// connections counts the open connections of each customer, and closes the
// oldest of those on which no customer has authenticated when there are too
// many. The zero value is empty.
type connections struct {
	mu     sync.Mutex
	owners map[net.Conn]string
	counts map[string]int
	// unclaimed holds the connections without a customer, the oldest first.
	unclaimed list.List
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
		s.owners = make(map[net.Conn]string)
		s.counts = make(map[string]int)
	}
	s.places[c] = s.unclaimed.PushBack(c)
	if s.unclaimed.Len() > maxUnclaimed {
		oldest := s.unclaimed.Front().Value.(net.Conn)
		s.forget(oldest)
		_ = oldest.Close()
	}
}

func (s *connections) forget(c net.Conn) {
	if place, ok := s.places[c]; ok {
		s.unclaimed.Remove(place)
		delete(s.places, c)
	}
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
