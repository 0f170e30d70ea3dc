package ffpipeline

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Limits bounds the size and the duration of requests.
type Limits struct {
	// MaxHeaderBytes bounds the head of a request; 0 means 1 MiB.
	MaxHeaderBytes int
	// ReadHeaderTimeout bounds the time to receive a head; 0 means 10 seconds.
	// IdleTimeout bounds the time without a request on a connection, and the time for which
	// a client may receive nothing of its responses; 0 means no limit.
	ReadHeaderTimeout time.Duration
	IdleTimeout       time.Duration
}

// Default limits; defaultHead is in bytes.
const (
	defaultHead     = 1 << 20
	defaultHeadTime = 10 * time.Second
)

// Server is an HTTP/1.1 server.
type Server struct {
	Handler http.Handler
	// MayRunAhead reports whether a request may run before the earlier ones of its
	// connection are answered; if nil, none may.
	MayRunAhead func(*http.Request) bool
	// Limits returns the current limits; if nil, the defaults apply.
	Limits func() Limits
	// Memory limits the long responses that are held until they can be sent without risk
	// for other requests on their connection; if nil, none is held.
	Memory Memory
	Log    zerolog.Logger

	mu     sync.Mutex
	conns  map[*conn]struct{}
	closed bool
}

// acceptPause is the time after which accepting a connection is tried again when it failed.
const acceptPause = 20 * time.Millisecond

// Serve serves the connections of l until l is closed, and returns net.ErrClosed then. If
// connections cannot be accepted for another reason, such as no descriptors left, it closes
// the idle ones and tries again.
func (s *Server) Serve(l net.Listener) error {
	failures := 0
	for {
		c, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil:
			failures++
			s.acceptFailed(err, failures)
			continue
		case failures > 0:
			s.Log.Info().Int("failures", failures).Msg("connections are accepted again")
			failures = 0
		}
		s.start(c)
	}
}

// acceptFailed handles a failure to accept a connection, and logs the first one of a series.
func (s *Server) acceptFailed(err error, failures int) {
	if failures == 1 {
		s.Log.Warn().Err(err).Msg("connection not accepted")
	}
	for _, c := range s.open() {
		c.closeServed()
	}
	time.Sleep(acceptPause)
}

func (s *Server) start(n net.Conn) {
	c := newConn(s, n)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = n.Close()
		return
	}
	if s.conns == nil {
		s.conns = make(map[*conn]struct{})
	}
	s.conns[c] = struct{}{}
	go c.run()
}

func (s *Server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *Server) open() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		all = append(all, c)
	}
	return all
}

// CloseIdle ends the connections that wait for a request and have none unanswered. Each is closed
// when its client closes it, or has received nothing for as long as it may be idle.
func (s *Server) CloseIdle() {
	for _, c := range s.open() {
		c.closeIdle()
	}
}

// Undelivered returns the number of connections on which a request is unanswered or a response
// has not been received by its client.
func (s *Server) Undelivered() int {
	n := 0
	for _, c := range s.open() {
		if c.undelivered() {
			n++
		}
	}
	return n
}

// Close closes every connection, including those with running requests, and every
// one that is accepted later.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	for _, c := range s.open() {
		c.abort()
	}
}

func (s *Server) limits() Limits {
	var l Limits
	if s.Limits != nil {
		l = s.Limits()
	}
	if l.MaxHeaderBytes <= 0 {
		l.MaxHeaderBytes = defaultHead
	}
	if l.ReadHeaderTimeout <= 0 {
		l.ReadHeaderTimeout = defaultHeadTime
	}
	return l
}

func (s *Server) ahead(r *http.Request) bool { return s.MayRunAhead != nil && s.MayRunAhead(r) }
