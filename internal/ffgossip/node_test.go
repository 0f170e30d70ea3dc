package ffgossip

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
	"fireflyfall.dev/fireflyfall/internal/ffmesh"
)

// TestStoppingDaemonHearsNothing guards against a daemon that still takes requests while it
// stops, and to which the others send no heartbeats any more.
func TestStoppingDaemonHearsNothing(t *testing.T) {
	stopping := vmNumber(1)
	fleet := fffleet.New([]fffleet.Target{{ID: "a", Address: netip.AddrPortFrom(stopping, 1)}})
	n := &Node{State: &State{}, Peers: &Peers{}, Listen: netip.AddrPortFrom(vmNumber(2), 1)}
	n.State.Merge(Reading{Revision: Revision{Number: 1}, ConfirmedAt: time.Now(), Fleet: fleet})
	for name, saidAt := range map[string]time.Time{"stopping": time.Now(), "ended": time.Now().Add(-time.Minute)} {
		n.Peers.Record(stopping, Heartbeat{Incarnation: uint64(saidAt.Unix()), Sequence: 1, Leaving: true}, saidAt)
		if hears := len(n.targets()) == 1; hears != (name == "stopping") {
			t.Errorf("%s daemon hears of news: %v", name, hears)
		}
		if others, listed := n.members(); len(others)+len(listed) > 0 {
			t.Errorf("%s daemon counts as a reader: %v %v", name, others, listed)
		}
	}
}

// TestStartingDaemonsHearEachOther guards against daemons of a fleet that starts as a whole
// which hear of others, and of the links that these have, only when their turn comes.
func TestStartingDaemonsHearEachOther(t *testing.T) {
	const wait = 200 * time.Millisecond
	peer, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.2:0")))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = peer.Close() }()
	port := peer.LocalAddr().(*net.UDPAddr).AddrPort().Port()
	n := &Node{State: &State{}, Peers: &Peers{}, Reader: &Reader{}, Listen: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)}
	n.Load, n.OnHeartbeat = func() ffmesh.Load { return ffmesh.Load{} }, func(netip.Addr, Heartbeat) {}
	if n.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(n.Listen)); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = n.conn.Close() }()
	for sequence, wantErr := range []error{nil, os.ErrDeadlineExceeded} {
		b, err := cbor.Marshal(Heartbeat{Incarnation: 1, Sequence: uint64(sequence) + 1})
		if err != nil {
			t.Fatal(err)
		}
		n.receive(netip.MustParseAddr("127.0.0.2"), b)
		if err := peer.SetReadDeadline(time.Now().Add(wait)); err != nil {
			t.Fatal(err)
		}
		if _, err := peer.Read(make([]byte, maxDatagram)); !errors.Is(err, wantErr) {
			t.Errorf("heartbeat %d: %v, want %v", sequence+1, err, wantErr)
		}
	}
}
