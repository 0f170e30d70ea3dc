package ffport

import (
	"context"
	"errors"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// settleTime is how long a handshake may take that was under way when a port
	// began to close.
	settleTime = 100 * time.Millisecond
	// lookEvery is the interval of looks at the connections that wait to be accepted.
	lookEvery = 5 * time.Millisecond
)

// Port listens for TCP connections.
type Port struct{ *net.TCPListener }

// Listen opens a port. It leaves out multipath TCP, on which Finish could not
// keep new connections away.
func Listen(ctx context.Context, address string) (*Port, error) {
	var cfg net.ListenConfig
	cfg.SetMultipathTCP(false)
	l, err := cfg.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, &Error{Op: "listen on " + address, Kind: KindListen, Err: err}
	}
	return &Port{TCPListener: l.(*net.TCPListener)}, nil
}

// Finish closes the port once every connection that was being made has been
// accepted, since closing it resets those that wait: their clients may have sent
// a request. Whoever connects meanwhile gets no answer, and is refused at the next
// try. The port is closed when ctx ends, and also after an error.
func (p *Port) Finish(ctx context.Context) error {
	err := p.refuse()
	if err == nil {
		p.settle(ctx)
	}
	return errors.Join(err, p.close())
}

// refuse drops every segment that opens a connection from now on.
func (p *Port) refuse() error {
	err := p.control(func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, dropOpening())
	})
	if err != nil {
		return &Error{Op: "refuse new connections", Kind: KindFilter, Err: err}
	}
	return nil
}

// settle waits until the handshakes under way are over and nothing waits.
func (p *Port) settle(ctx context.Context) {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for settled := time.Now().Add(settleTime); time.Now().Before(settled) || p.waiting() > 0; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// waiting returns the number of connections that wait to be accepted, 0 if the
// system does not tell.
func (p *Port) waiting() int {
	n := 0
	err := p.control(func(fd int) error {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			// Of a listening socket Linux tells the length of its queue here.
			n = int(info.Unacked)
		}
		return err
	})
	if err != nil {
		return 0
	}
	return n
}

func (p *Port) control(f func(fd int) error) error {
	raw, err := p.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = f(int(fd)) }); err != nil {
		return err
	}
	return failed
}

func (p *Port) close() error {
	if err := p.Close(); err != nil {
		return &Error{Op: "close", Kind: KindClose, Err: err}
	}
	return nil
}
