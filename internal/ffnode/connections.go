package ffnode

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// connections knows which connections of a server are idle, and since when. The
// zero value is empty.
type connections struct {
	mu   sync.Mutex
	idle map[net.Conn]time.Time
}

// state takes up a change of a connection.
func (s *connections) state(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idle == nil {
		s.idle = make(map[net.Conn]time.Time)
	}
	if state == http.StateIdle {
		s.idle[c] = time.Now()
		return
	}
	delete(s.idle, c)
}

// closeIdle closes the connections that were idle at a time and since.
func (s *connections) closeIdle(since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, at := range s.idle {
		if at.Before(since) {
			delete(s.idle, c)
			_ = c.Close()
		}
	}
}
