package ffprocess_test

import (
	"net"
	"net/netip"
	"testing"

	"fireflyfall.dev/fireflyfall/internal/ffprocess"
)

// TestFreeAddressesAreFreeOnTheirHost listens on each address and checks that it is on
// the requested host; another test run may use the same port on another host.
func TestFreeAddressesAreFreeOnTheirHost(t *testing.T) {
	host := netip.MustParseAddr("127.0.10.1")
	addresses, err := ffprocess.FreeAddressesOn(host, 2)
	if err != nil {
		t.Fatal(err)
	}
	for _, address := range addresses {
		if got := netip.MustParseAddrPort(address).Addr(); got != host {
			t.Errorf("%s is not on %s", address, host)
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
	}
}
