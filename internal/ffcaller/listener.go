package ffcaller

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// drainWait is how long a finishing listener waits for one more connection.
	drainWait = 2 * time.Millisecond
	// plugTimeout bounds one try to fill the kernel's queue.
	plugTimeout = 50 * time.Millisecond
)

// Listener accepts the connections of callers. Finish ends it without a reset of
// a connection on which a caller may have sent a request: closing a port resets
// what the kernel has accepted and the process has not.
type Listener struct {
	*net.TCPListener

	finishing atomic.Bool
	// plugged is closed when no further connection can come, closed at the end.
	plugged, closed chan struct{}
	end             sync.Once

	mu   sync.Mutex
	plug net.Conn
}

// NewListener returns a listener over an open port.
func NewListener(l *net.TCPListener) *Listener {
	return &Listener{TCPListener: l, plugged: make(chan struct{}), closed: make(chan struct{})}
}

// Accept returns the next connection. Once the listener has finished it waits
// for Close.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		if l.finishing.Load() {
			_ = l.SetDeadline(time.Now().Add(drainWait))
		}
		c, err := l.TCPListener.Accept()
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return c, err
		}
		if l.fill() {
			close(l.plugged)
			<-l.closed
			return nil, net.ErrClosed
		}
	}
}

// Finish accepts what waits and then lets nothing more come, until ctx ends. A
// caller that tries to connect afterwards sends nothing and is refused at Close.
func (l *Listener) Finish(ctx context.Context) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	// The shortest queue holds one connection.
	if err := raw.Control(func(fd uintptr) { failed = unix.Listen(int(fd), 0) }); err != nil {
		return err
	}
	if failed != nil {
		return failed
	}
	l.finishing.Store(true)
	_ = l.SetDeadline(time.Now())
	select {
	case <-l.plugged:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// fill puts a connection of its own into the kernel's queue and reports whether
// it went in; another one may have been faster.
func (l *Listener) fill() bool {
	c, err := net.DialTimeout("tcp", l.Addr().String(), plugTimeout)
	if err != nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.plug = c
	return true
}

// Close closes the port.
func (l *Listener) Close() error {
	err := l.TCPListener.Close()
	l.end.Do(func() { close(l.closed) })
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.plug != nil {
		_ = l.plug.Close()
	}
	return err
}
