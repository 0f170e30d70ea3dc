package ffgossip

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"fireflyfall.dev/fireflyfall/internal/ffhop"
	"fireflyfall.dev/fireflyfall/internal/ffmesh"
)

// panickingStore fails unexpectedly on the first complete reads.
type panickingStore struct {
	fakeStore
	panics int
}

func (s *panickingStore) Read(ctx context.Context, progress func()) (*StoreContent, error) {
	if s.panics > 0 {
		s.panics--
		panic("unexpected")
	}
	return s.fakeStore.Read(ctx, progress)
}

// TestPanicInReadEndsProcess guards against an unexpected error in one read of the store
// that ends the process with all requests, or all later reads.
func TestPanicInReadEndsProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &panickingStore{fakeStore{version: 3}, 2}
		r := newMember(&fakeStore{version: 1})
		r.Source = s
		r.needFullRead = true
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		r.run(ctx)
		if v := r.State.Snapshot().Version(); v != 3 || s.panics != 0 {
			t.Errorf("version %d, %d panics left", v, s.panics)
		}
		if n := r.Failures.Load(); n != 2 {
			t.Errorf("%d failures were counted", n)
		}
	})
}

// TestPanicInHeartbeatEndsProcess guards against an unexpected error on one heartbeat or
// pull that ends the process with all requests, or what follows.
func TestPanicInHeartbeatEndsProcess(t *testing.T) {
	var heard, pulled atomic.Int64
	address := netip.MustParseAddr("127.0.0.1")
	port, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, 0)))
	if err != nil {
		t.Fatal(err)
	}
	listen := port.LocalAddr().(*net.UDPAddr).AddrPort()
	_ = port.Close()
	n := &Node{
		State: &State{}, Peers: &Peers{}, Reader: &Reader{Source: &fakeStore{version: 1}, State: &State{}}, Listen: listen,
		Load:        func() ffmesh.Load { return ffmesh.Load{} },
		OnHeartbeat: func(netip.Addr, Heartbeat) { panicOnFirst(&heard) },
		Pool: func(netip.Addr) *ffhop.Pool {
			panicOnFirst(&pulled)
			return &ffhop.Pool{Dialer: ffhop.NewDialer(time.Millisecond), MaxIdle: 1}
		},
	}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	c, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(listen))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	deadline := time.Now().Add(5 * time.Second)
	for sequence := uint64(1); heard.Load() < 3 || pulled.Load() < 2; sequence++ {
		if time.Now().After(deadline) {
			t.Fatalf("%d heartbeats heard, %d pulls", heard.Load(), pulled.Load())
		}
		b, err := cbor.Marshal(Heartbeat{Incarnation: 1, Sequence: sequence, Revision: Revision{Number: 9}, Digest: "other"})
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.Write(b)
		<-time.After(5 * time.Millisecond)
	}
	stop()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// panicOnFirst counts a call and fails unexpectedly on the first one.
func panicOnFirst(calls *atomic.Int64) {
	if calls.Add(1) == 1 {
		panic("unexpected")
	}
}
