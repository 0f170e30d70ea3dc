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
	// userTimeout bounds the time that sent bytes may stay unacknowledged.
	userTimeout = 5 * time.Second
	// keepAlive is the interval between probes of an idle connection.
	keepAlive = 2 * time.Second
	// keepAliveProbes is the number of unanswered probes that end a connection.
	keepAliveProbes = 3
)

// conn is a connection to one incarnation of a daemon.
type conn struct {
	*drpcconn.Conn
	incarnation uint64
	idleUntil   time.Time
}

// ManagerOptions returns the options of both ends of a connection between daemons.
func ManagerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes}}
}

// dial connects to the daemon of vm and makes sure that it is the one that answers.
func dial(ctx context.Context, vm ffmember.VM) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	d := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlive, Interval: keepAlive, Count: keepAliveProbes},
		Control:         setUserTimeout,
	}
	nc, err := d.DialContext(ctx, "tcp", vm.ForwardAddress)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: drpcconn.NewWithOptions(nc, drpcconn.Options{Manager: ManagerOptions()})}
	hello, err := ffprotocol.NewDRPCCallServiceClient(c).Hello(ctx, &ffprotocol.HelloRequest{})
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	if hello.GetVm() != vm.Name {
		_ = c.Close()
		return nil, merry.Errorf("VM %q answers at the address of VM %q", hello.GetVm(), vm.Name)
	}
	c.incarnation = hello.GetIncarnation()
	return c, nil
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
