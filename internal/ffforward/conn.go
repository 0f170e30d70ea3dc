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
	// MaxMessageBytes is the maximum size of a message between daemons, in bytes.
	MaxMessageBytes = 65 << 20
	// dialTimeout is the timeout for opening a connection and the Hello request.
	dialTimeout = 500 * time.Millisecond
	// maxAge is how long a connection is used for new calls.
	maxAge = 5 * time.Minute
	// userTimeout is TCP_USER_TIMEOUT: how long sent bytes may stay unacknowledged.
	userTimeout = 5 * time.Second
)

// conn is a connection to one incarnation of a daemon.
type conn struct {
	*drpcconn.Conn
	incarnation uint64
	clock       remoteClock
	idleUntil   time.Time
	// expiresAt is the time after which the connection is not used for new calls,
	// because the clocks of the two daemons drift apart.
	expiresAt time.Time
}

// ManagerOptions returns the DRPC options for both ends of a connection.
func ManagerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes}}
}

// dial connects to the daemon of vm and verifies the VM name that it reports. The
// connection stores the daemon's incarnation and clock.
func (c *Client) dial(ctx context.Context, vm ffmember.VM) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	d := c.dialer()
	nc, err := d.DialContext(ctx, "tcp", vm.ForwardAddress)
	if err != nil {
		return nil, err
	}
	cn := &conn{Conn: drpcconn.NewWithOptions(nc, drpcconn.Options{Manager: ManagerOptions()})}
	hello, err := ffprotocol.NewDRPCCallServiceClient(cn).Hello(ctx, &ffprotocol.HelloRequest{})
	if err != nil {
		_ = cn.Close()
		return nil, err
	}
	if hello.GetVm() != vm.Name {
		_ = cn.Close()
		return nil, merry.Errorf("VM %q answers at the address of VM %q", hello.GetVm(), vm.Name)
	}
	now := time.Now()
	cn.incarnation = hello.GetIncarnation()
	cn.clock = remoteClock{micros: hello.GetClockMicros(), receivedAt: now}
	cn.expiresAt = now.Add(maxAge)
	return cn, nil
}

// dialer returns a copy of the client's dialer that sets TCP_USER_TIMEOUT.
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
