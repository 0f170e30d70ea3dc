package ffprocess

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"

	"github.com/ansel1/merry/v2"
)

const (
	// firstPort and lastPort bound the ports that are assigned to processes. They are
	// below the ephemeral port range that the system uses for outgoing connections.
	firstPort = 12000
	lastPort  = 32000
	// maxPortTries is the maximum number of ports tried for one address.
	maxPortTries = 1000
)

// addressSet holds the addresses that this program has already assigned.
type addressSet struct {
	mu        sync.Mutex
	addresses map[netip.AddrPort]bool
}

var assigned addressSet

// add adds the address and reports whether it was not in the set before.
func (s *addressSet) add(address netip.AddrPort) bool {
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

// FreeAddresses returns n different addresses (host and port) on 127.0.0.1 that are
// not in use and were not returned before in this process.
func FreeAddresses(n int) ([]string, error) {
	return FreeAddressesOn(netip.AddrFrom4([4]byte{127, 0, 0, 1}), n)
}

// FreeAddressesOn returns n different addresses (host and port) on the given host that
// are not in use and were not returned before in this process.
func FreeAddressesOn(host netip.Addr, n int) ([]string, error) {
	addresses := make([]string, 0, n)
	for range n {
		listener, err := listenOnFreePort(host)
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// listenOnFreePort listens on a random port of host that was not assigned before.
func listenOnFreePort(host netip.Addr) (net.Listener, error) {
	for range maxPortTries {
		address := netip.AddrPortFrom(host, uint16(firstPort+rand.IntN(lastPort-firstPort)))
		if !assigned.add(address) {
			continue
		}
		listener, err := net.Listen("tcp", address.String())
		if err == nil {
			return listener, nil
		}
	}
	return nil, &Error{Op: "find address", Kind: KindAddress, Err: merry.New("no free port")}
}
