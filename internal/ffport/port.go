package ffport

import (
	"context"
	"errors"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// handshakeTime is the time that handshakes in progress get to complete when the
	// listener starts to close.
	handshakeTime = 100 * time.Millisecond
	// pollInterval is the interval at which the accept queue is checked.
	pollInterval = 5 * time.Millisecond
)

// Listener is a TCP listener with a graceful close.
type Listener struct{ *net.TCPListener }

// Listen opens a listener on address. It disables multipath TCP, on which Shutdown
// could not drop new connections.
func Listen(ctx context.Context, address string) (*Listener, error) {
	var cfg net.ListenConfig
	cfg.SetMultipathTCP(false)
	l, err := cfg.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, &Error{Op: "listen on " + address, Kind: KindListen, Err: err}
	}
	return &Listener{TCPListener: l.(*net.TCPListener)}, nil
}

// Shutdown closes the listener once every connection in progress has been accepted.
// An earlier close would reset the queued connections, whose clients may already
// have sent a request. Meanwhile the SYNs of new clients are dropped; their
// retransmissions are refused once the listener is closed. It is also closed when
// ctx ends and after an error.
func (p *Listener) Shutdown(ctx context.Context) error {
	err := p.dropNewConnections()
	if err == nil {
		p.awaitPending(ctx)
	}
	return errors.Join(err, p.close())
}

// dropNewConnections makes the kernel drop the SYN of every new connection.
func (p *Listener) dropNewConnections() error {
	err := p.control(func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, dropSYN())
	})
	if err != nil {
		return &Error{Op: "drop new connections", Kind: KindFilter, Err: err}
	}
	return nil
}

// awaitPending waits until the handshakes in progress have had time to complete and the
// accept queue is empty.
func (p *Listener) awaitPending(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for handshakesEnd := time.Now().Add(handshakeTime); time.Now().Before(handshakesEnd) || p.acceptQueueLength() > 0; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// acceptQueueLength returns the length of the accept queue, or 0 if the system does not
// report it.
func (p *Listener) acceptQueueLength() int {
	n := 0
	err := p.control(func(fd int) error {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			// For a listening socket, Linux reports the length of the accept queue here.
			n = int(info.Unacked)
		}
		return err
	})
	if err != nil {
		return 0
	}
	return n
}

func (p *Listener) control(f func(fd int) error) error {
	raw, err := p.SyscallConn()
	if err != nil {
		return err
	}
	var optErr error
	if err := raw.Control(func(fd uintptr) { optErr = f(int(fd)) }); err != nil {
		return err
	}
	return optErr
}

func (p *Listener) close() error {
	if err := p.Close(); err != nil {
		return &Error{Op: "close", Kind: KindClose, Err: err}
	}
	return nil
}
