package ffpeer_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"fireflyfall.dev/fireflyfall/internal/ffpeer"
	"fireflyfall.dev/fireflyfall/internal/ffprotocol"
)

// echo responds to each exchange with the sender's summary.
type echo struct {
	ffprotocol.DRPCConfigurationServiceUnimplementedServer
}

func (*echo) Exchange(_ context.Context, in *ffprotocol.ExchangeRequest) (*ffprotocol.ExchangeResponse, error) {
	return &ffprotocol.ExchangeResponse{From: in.GetFrom()}, nil
}

// peer is a server on loopback with a client.
type peer struct {
	meter   ffpeer.Meter
	pool    *ffpeer.Pool
	client  ffpeer.Client
	address string
	cancel  context.CancelFunc
	done    chan error
}

func startPeer(t *testing.T) *peer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &peer{address: listener.Addr().String(), done: make(chan error, 1)}
	server := &ffpeer.Server{}
	if err := server.Register(&echo{}, ffprotocol.DRPCConfigurationServiceDescription{}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	go func() { p.done <- server.Serve(ctx, listener) }()
	p.pool = &ffpeer.Pool{Meter: &p.meter, MaxConnections: 2}
	p.client = ffpeer.Client{Pool: p.pool}
	return p
}

func (p *peer) stop(t *testing.T) {
	t.Helper()
	if err := p.pool.Close(); err != nil {
		t.Error(err)
	}
	p.cancel()
	if err := <-p.done; err != nil {
		t.Error(err)
	}
	goleak.VerifyNone(t)
}

func summary() *ffprotocol.ExchangeRequest {
	return &ffprotocol.ExchangeRequest{From: &ffprotocol.Summary{
		Vm: "vm-0123", DataCentre: "palermo", PeerAddress: "10.0.0.1:9000", Incarnation: 1 << 60, Ready: true,
		Version:      &ffprotocol.Version{Number: 8700, Digest: make([]byte, 32)},
		ListRevision: 100, ListDigest: 1, EvidenceDigest: 1,
	}}
}

func TestExchangeReusesConnectionAndCountsBytes(t *testing.T) {
	p := startPeer(t)
	defer p.stop(t)
	const rounds = 10
	for range rounds {
		out, err := p.client.Exchange(context.Background(), p.address, summary())
		if err != nil {
			t.Fatal(err)
		}
		if out.GetFrom().GetVm() != "vm-0123" {
			t.Fatalf("response is %v", out)
		}
	}
	u := p.meter.Usage()
	if u.ConnectionsOpened != 1 || u.ConnectionsOpen != 1 {
		t.Errorf("usage %+v: sequential calls opened more than one connection", u)
	}
	if u.BytesOut == 0 || u.BytesOut/rounds > 256 || u.BytesIn/rounds > 256 {
		t.Errorf("usage %+v: nothing sent, or more than 256 bytes per exchange in one direction", u)
	}
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	p := startPeer(t)
	defer p.stop(t)
	relay := newRelay(t, p.address)
	if _, err := p.client.Exchange(context.Background(), relay.address(), summary()); err != nil {
		t.Fatal(err)
	}
	relay.silence()
	if _, err := p.client.Exchange(context.Background(), relay.address(), summary()); err != nil {
		t.Fatalf("call after the connection was silenced: %v", err)
	}
	relay.close()
}

func TestConnectionsAreBounded(t *testing.T) {
	p := startPeer(t)
	defer p.stop(t)
	relay := newRelay(t, p.address)
	defer relay.close()
	relay.silence()
	relay.silenceNew()
	dials := &countingDialer{}
	p.pool.DialContext = dials.DialContext
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	const calls = 8
	done := make(chan error, calls)
	for range calls {
		go func() {
			_, err := p.client.Exchange(ctx, relay.address(), summary())
			done <- err
		}()
	}
	for range calls {
		if err := <-done; err == nil {
			t.Error("call on a silenced connection succeeded")
		}
	}
	if peak := dials.peak.Load(); peak > 2 {
		t.Errorf("%d connections at once, at most 2 are allowed", peak)
	}
}

// countingDialer records the peak number of open connections.
type countingDialer struct {
	net.Dialer
	open, peak atomic.Int64
}

// countedConn is a connection of a countingDialer.
type countedConn struct {
	net.Conn
	once   sync.Once
	dialer *countingDialer
}

func (d *countingDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	d.peak.Store(max(d.peak.Load(), d.open.Add(1)))
	return &countedConn{Conn: c, dialer: d}, nil
}

// Close closes the connection and counts it once.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.dialer.open.Add(-1) })
	return c.Conn.Close()
}

func BenchmarkExchange(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &ffpeer.Server{}
	if err := server.Register(&echo{}, ffprotocol.DRPCConfigurationServiceDescription{}); err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, listener) }()
	var meter ffpeer.Meter
	client := ffpeer.Client{Pool: &ffpeer.Pool{Meter: &meter}}
	for range b.N {
		if _, err := client.Exchange(ctx, listener.Addr().String(), summary()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(meter.Usage().BytesOut)/float64(b.N), "bytesOut/op")
	b.ReportMetric(float64(meter.Usage().BytesIn)/float64(b.N), "bytesIn/op")
	cancel()
	<-done
	_ = client.Pool.Close()
}
