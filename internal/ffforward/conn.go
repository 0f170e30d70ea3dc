package ffforward

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sys/unix"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffprotocol"
)

const (
	// MaxMessageBytes bounds one message between daemons, in bytes.
	MaxMessageBytes = 65 << 20
	// dialTimeout bounds the making of a connection and the greeting over it.
	dialTimeout = 500 * time.Millisecond
	// maxAge is the time for which a connection takes calls.
	maxAge = 5 * time.Minute
	// userTimeout bounds the time that sent bytes may stay unacknowledged.
	userTimeout = 5 * time.Second
)

// conn is a connection to one incarnation of a daemon.
type conn struct {
	*drpcconn.Conn
	incarnation uint64
	clock       remoteClock
	idleUntil   time.Time
	// closeAt is the time from which the connection takes no further call, since
	// the two clocks drift apart.
	closeAt time.Time
}

// ManagerOptions returns the options of both ends of a connection between daemons.
func ManagerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes}}
}

// dial connects to the daemon of vm and makes sure that it is the one that answers.
func (c *Client) dial(ctx context.Context, vm ffmember.VM) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	d := c.dialer()
	nc, err := d.DialContext(ctx, "tcp", vm.ForwardAddress)
	if err != nil {
		return nil, err
	}
	made := &conn{Conn: drpcconn.NewWithOptions(nc, drpcconn.Options{Manager: ManagerOptions()})}
	hello, err := ffprotocol.NewDRPCCallServiceClient(made).Hello(ctx, &ffprotocol.HelloRequest{})
	if err != nil {
		_ = made.Close()
		return nil, err
	}
	if hello.GetVm() != vm.Name {
		_ = made.Close()
		return nil, merry.Errorf("VM %q answers at the address of VM %q", hello.GetVm(), vm.Name)
	}
	now := time.Now()
	made.incarnation = hello.GetIncarnation()
	made.clock = remoteClock{micros: hello.GetClockMicros(), heardAt: now}
	made.closeAt = now.Add(maxAge)
	return made, nil
}

// dialer returns the client's dialer with a bound on unacknowledged bytes.
func (c *Client) dialer() net.Dialer {
	var d net.Dialer
	if c.Dialer != nil {
		d = *c.Dialer
	}
	d.Control = setUserTimeout
	return d
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
