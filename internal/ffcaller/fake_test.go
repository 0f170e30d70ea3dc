package ffcaller_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"fireflyfall.dev/fireflyfall/internal/ffbalance"
	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/internal/ffcaller"
	"fireflyfall.dev/fireflyfall/internal/ffentry"
	"fireflyfall.dev/fireflyfall/internal/fflimit"
	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffretry"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

const (
	key            = "crew-key"
	otherKey       = "appraiser-key"
	maxBodyBytes   = 64
	maxConnections = 3
	// testTimeout limits the wait for events that must occur.
	testTimeout = 20 * time.Second
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newSnapshot(t testing.TB) *ffconfig.Snapshot {
	t.Helper()
	m, content := ffconfig.Manifest{Number: 1}, make(map[ffconfig.Digest][]byte)
	add := func(kind ffconfig.PieceKind, name string, v any) {
		p, c, err := ffconfig.EncodePiece(kind, name, v)
		if err != nil {
			t.Fatal(err)
		}
		m.Pieces = append(m.Pieces, p)
		content[p.Digest] = c
	}
	add(ffconfig.PieceService, "ledger", ffconfig.Service{Name: "ledger", Resources: []string{"coins"}, Slots: 4, LongSlots: 1, Connections: 9, QueueLength: 9})
	for _, r := range []ffconfig.Route{
		{Name: "deposit", Method: "POST", Path: "/deposits"},
		{Name: "haul", Method: "PUT", Path: "/hauls", Idempotent: true},
		{Name: "secret", Method: "GET", Path: "/secrets", Idempotent: true},
	} {
		r.Service, r.Resource, r.TimeoutMillis = "ledger", "coins", testTimeout.Milliseconds()
		add(ffconfig.PieceRoute, r.Name, r)
	}
	for customer, k := range map[string]string{"crew": key, "appraisers": otherKey} {
		add(ffconfig.PieceContract, customer, ffconfig.Contract{
			Customer: customer, KeyHashes: []ffconfig.Digest{ffconfig.DigestOf([]byte(k))}, Share: 1, RatePerSecond: 9, Burst: 9,
			Concurrency: 9, MaxBodyBytes: maxBodyBytes, MaxConnections: maxConnections, Routes: []string{"deposit", "haul"},
		})
	}
	s, err := ffconfig.NewSnapshot(m, ffconfig.Version{Number: 1}, content)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// staticDependencies implements the dependencies of package ffentry with constant
// results.
type staticDependencies struct {
	snapshot *ffconfig.Snapshot
	view     *ffmember.View
}

func (f staticDependencies) Snapshot() *ffconfig.Snapshot { return f.snapshot }

func (staticDependencies) Ready() bool { return true }

func (f staticDependencies) View() *ffmember.View { return f.view }

func (staticDependencies) Acquire(context.Context, *ffconfig.Contract, func() time.Time) (fflimit.Permit, *ffcall.Error) {
	return fflimit.Permit{}, nil
}

func (staticDependencies) Choose(_ string, _ ffconfig.Class, _ time.Time, view []ffmember.VM, _ ...string) (ffmember.VM, error) {
	return view[0], nil
}

func (staticDependencies) Started(string, ffconfig.Class, time.Time) {}

func (staticDependencies) Finished(string, time.Time, ffbalance.Result) {}

// fakeGate records calls and answers them with do, or with their ID when do is nil.
type fakeGate struct {
	do func(ctx context.Context, c *ffcall.Call) (*ffcall.Reply, error)

	mu    sync.Mutex
	calls []*ffcall.Call
}

// Do implements ffentry.Gate.
func (g *fakeGate) Do(ctx context.Context, c *ffcall.Call) (*ffcall.Reply, error) {
	g.mu.Lock()
	g.calls = append(g.calls, c)
	g.mu.Unlock()
	if g.do != nil {
		return g.do(ctx, c)
	}
	return &ffcall.Reply{Status: http.StatusOK, Body: []byte("answer to " + c.ID)}, nil
}

// Mint implements ffentry.Gate.
func (*fakeGate) Mint(string, string) (string, error) { return "token", nil }

// takeCalls returns the calls received since the last takeCalls.
func (g *fakeGate) takeCalls() []*ffcall.Call {
	g.mu.Lock()
	defer g.mu.Unlock()
	calls := g.calls
	g.calls = nil
	return calls
}

// start runs a server for callers on loopback and returns its address. Its header
// timeout is longer than any test.
func start(t testing.TB, gate *fakeGate) string {
	t.Helper()
	f := staticDependencies{
		snapshot: newSnapshot(t),
		view:     (&ffmember.View{}).WithList(ffmember.NewList(1, []ffmember.VM{{Name: "vm", Service: "ledger"}})),
	}
	entry := &ffentry.Entry{
		Self: "vm", Snapshots: f, Readiness: f, Members: f, Limiter: f, Chooser: f, Retry: &ffretry.Policy{}, Gate: gate,
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := ffcaller.NewServer("", ffcaller.NewHandler(entry, nil), zerolog.Nop())
	server.ReadHeaderTimeout = 2 * testTimeout
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener)
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-done
	})
	return listener.Addr().String()
}

// rawConn is a connection of a caller that may send arbitrary bytes.
type rawConn struct {
	net.Conn
	reader *bufio.Reader
}

func dial(t testing.TB, address string) *rawConn {
	t.Helper()
	return dialFrom(t, "127.0.0.1", address)
}

// dialFrom connects to address from the loopback address source.
func dialFrom(t testing.TB, source, address string) *rawConn {
	t.Helper()
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
	c, err := d.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return &rawConn{Conn: c, reader: bufio.NewReader(c)}
}

func (c *rawConn) send(t testing.TB, text string) {
	t.Helper()
	if _, err := c.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
}

// answer returns the next answer on the connection, with its body already read.
func (c *rawConn) answer(t testing.TB) *http.Response {
	t.Helper()
	r, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		t.Fatal(err)
	}
	_ = r.Body.Close()
	r.Body = io.NopCloser(bytes.NewReader(body))
	return r
}
