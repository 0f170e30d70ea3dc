package ffprocess

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"

	"github.com/ansel1/merry/v2"
)

const (
	// firstPort and lastPort bound the ports that processes get; they lie below
	// those that the system gives to outgoing connections.
	firstPort = 12000
	lastPort  = 32000
	// maxPortTries bounds the ports that are tried for one address.
	maxPortTries = 1000
)

// addressSet holds the addresses that this program has given out, each only once.
type addressSet struct {
	mu        sync.Mutex
	addresses map[netip.AddrPort]bool
}

var given addressSet

// take reports whether the address was not given out before.
func (s *addressSet) take(address netip.AddrPort) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.addresses[address] {
		return false
	}
	if s.addresses == nil {
		s.addresses = make(map[netip.AddrPort]bool)
	}
	s.addresses[address] = true
	return true
}

// FreeAddresses returns n different loopback addresses (host and port) on which
// nothing listens now.
func FreeAddresses(n int) ([]string, error) {
	return FreeAddressesAt(netip.AddrFrom4([4]byte{127, 0, 0, 1}), n)
}

// FreeAddressesAt returns n different addresses (host and port) of a loopback
// address on which nothing listens now.
func FreeAddressesAt(host netip.Addr, n int) ([]string, error) {
	addresses := make([]string, 0, n)
	for range n {
		listener, err := listenAnywhere(host)
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

func listenAnywhere(host netip.Addr) (net.Listener, error) {
	for range maxPortTries {
		address := netip.AddrPortFrom(host, uint16(firstPort+rand.IntN(lastPort-firstPort)))
		if !given.take(address) {
			continue
		}
		listener, err := net.Listen("tcp", address.String())
		if err == nil {
			return listener, nil
		}
	}
	return nil, &Error{Op: "find address", Kind: KindAddress, Err: merry.New("no free port")}
}
