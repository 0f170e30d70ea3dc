package ffhop

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Detection of connections whose peer no longer responds.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// unackedTimeout closes a connection whose peer acknowledges no sent data.
	unackedTimeout = 900 * time.Millisecond
)

// NewDialer returns a dialer whose connections fail when the peer stops responding.
// The timeout bounds the dialling itself.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var optErr error
			err := c.Control(func(fd uintptr) {
				optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return optErr
		},
	}
}
