package ffcaller

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// connections counts the open connections of each customer. The zero value is empty.
type connections struct {
	mu     sync.Mutex
	owners map[net.Conn]string
	counts map[string]int
}

type connKey struct{}

// connContext makes the connection of a request known to its handler.
func (*connections) connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connState forgets a connection that has ended.
func (s *connections) connState(c net.Conn, state http.ConnState) {
	if state != http.StateClosed && state != http.StateHijacked {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(c)
}

func (s *connections) forget(c net.Conn) {
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
	if s.owners[c] == contract.Customer {
		return nil
	}
	if s.counts[contract.Customer] >= contract.MaxConnections {
		return ffcall.Refuse("connect", ffcall.KindLimit, merry.Errorf("customer %s has %d connections open, the contract allows no more", contract.Customer, contract.MaxConnections))
	}
	s.forget(c)
	if s.owners == nil {
		s.owners = make(map[net.Conn]string)
		s.counts = make(map[string]int)
	}
	s.owners[c] = contract.Customer
	s.counts[contract.Customer]++
	return nil
}
