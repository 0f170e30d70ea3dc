package ffdaemon

import (
	"net"
	"net/netip"
	"time"
)

const (
	// dialTimeout bounds the making of a connection to another VM.
	dialTimeout = time.Second
	// keepAlive is the interval between probes of an idle connection.
	keepAlive = 2 * time.Second
	// keepAliveProbes is the number of unanswered probes that end a connection.
	keepAliveProbes = 3
)

// provideDialer returns the dialer to other VMs. It connects from the address on
// which the daemon serves its peers, so that a VM with several is known by one.
func provideDialer(s Settings) (*net.Dialer, error) {
	own, err := netip.ParseAddrPort(s.PeerAddress)
	if err != nil {
		return nil, &Error{Op: "read settings", Kind: KindSettings, Err: err}
	}
	d := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlive, Interval: keepAlive, Count: keepAliveProbes},
	}
	if !own.Addr().IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: own.Addr().AsSlice()}
	}
	return d, nil
}
