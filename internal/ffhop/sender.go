package ffhop

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// sender sends the body of a request and records why that failed. The system reports
// the failure of a connection to the first read or write after it only, and later reads
// get what looks like a regular end.
type sender struct {
	net net.Conn
	mu  sync.Mutex
	err error
}

// Write implements io.Writer.
func (s *sender) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, err := s.net.Write(p)
	if s.err == nil {
		s.err = err
	}
	return n, err
}

// failed reports whether a write has failed.
func (s *sender) failed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err != nil
}

// stop ends the sending, and returns why the connection has failed if that was reported to a
// write. syscall.EPIPE is no such failure: it follows a regular end of what the peer sends.
func (s *sender) stop() error {
	_ = s.net.SetWriteDeadline(time.Unix(1, 0))
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(s.err, os.ErrDeadlineExceeded) || errors.Is(s.err, syscall.EPIPE) {
		return nil
	}
	return s.err
}
