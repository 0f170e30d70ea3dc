package ffdaemon

import (
	"net"
	"net/netip"
	"time"
)

const (
	// dialTimeout is the timeout for connecting to another VM or the platform.
	dialTimeout = time.Second
	// keepAlive is the idle time before the first TCP keep-alive probe, and the
	// interval between probes.
	keepAlive = 2 * time.Second
	// keepAliveProbes is the number of unanswered probes after which a connection is closed.
	keepAliveProbes = 3
)

// provideDialer returns the dialer for other VMs and the platform. Its local
// address is the IP of the peer address, so that a VM with several addresses
// always connects from the same one.
func provideDialer(s Settings) (*net.Dialer, error) {
	peerAddress, err := netip.ParseAddrPort(s.PeerAddress)
	if err != nil {
		return nil, &Error{Op: "read settings", Kind: KindSettings, Err: err}
	}
	d := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlive, Interval: keepAlive, Count: keepAliveProbes},
	}
	if !peerAddress.Addr().IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: peerAddress.Addr().AsSlice()}
	}
	return d, nil
}
