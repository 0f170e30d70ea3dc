package ffforward_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/goleak"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/internal/ffforward"
	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffpeer"
	"fireflyfall.dev/fireflyfall/internal/ffprotocol"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

const (
	gateVM = "ledger-1"
	// shortLookUpDelay is the time without a response after which the client of the
	// tests looks up an attempt.
	shortLookUpDelay = 10 * time.Millisecond
	// testTimeout is a long timeout for events that must happen.
	testTimeout = 20 * time.Second
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeGate runs calls immediately, unless hold is set, and records them.
type fakeGate struct {
	// started receives the ID of each running call; hold blocks calls until closed.
	started chan string
	hold    chan struct{}

	mu      sync.Mutex
	ran     map[string]int
	ended   map[string]bool
	refused map[string]bool
}

func newGate() *fakeGate {
	return &fakeGate{
		started: make(chan string, 16),
		ran:     make(map[string]int),
		ended:   make(map[string]bool),
		refused: make(map[string]bool),
	}
}

// Do implements ffforward.Gate.
func (g *fakeGate) Do(_ context.Context, c *ffcall.Call) (*ffcall.Reply, error) {
	g.mu.Lock()
	if g.refused[c.ID] {
		g.mu.Unlock()
		return nil, notReceived()
	}
	if !time.Now().Before(c.Deadline) {
		g.mu.Unlock()
		return nil, ffcall.Refuse("run", ffcall.KindDeadline, merry.New("the deadline has passed"))
	}
	g.ran[c.ID]++
	g.mu.Unlock()
	g.started <- c.ID
	if g.hold != nil {
		<-g.hold
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended[c.ID] = true
	return answerTo(c.ID), nil
}

func notReceived() error {
	return ffcall.Refuse("outcome", ffcall.KindNoResponse, merry.New("the gate did not receive the call"))
}

func answerTo(id string) *ffcall.Reply {
	return &ffcall.Reply{
		Status: 200, Header: map[string][]string{"Answer-To": {id}}, Body: []byte("answer to " + id),
		Load: ffcall.Load{VM: gateVM, Incarnation: 1, FreeSlots: 2, Version: ffconfig.Version{Number: 1}},
	}
}

// AwaitOutcome implements ffforward.Gate.
func (g *fakeGate) AwaitOutcome(_ context.Context, callID, _ string, _ uint64, until time.Time) (*ffcall.Reply, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.ended[callID]:
		return answerTo(callID), nil
	case g.ran[callID] > 0:
		return nil, stillRunning(until)
	}
	g.refused[callID] = true
	return nil, notReceived()
}

// stillRunning waits until the given time, as the real gate does, and returns the
// error for a running call.
func stillRunning(until time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	<-ctx.Done()
	return &ffcall.Error{Op: "await", Kind: ffcall.KindDeadline, Err: ctx.Err()}
}

// Mint implements ffforward.Gate.
func (*fakeGate) Mint(string, string) (string, error) { return "token", nil }

// Load implements ffforward.Gate.
func (*fakeGate) Load() ffcall.Load { return ffcall.Load{VM: gateVM, Incarnation: 1, FreeSlots: 3} }

// fixedConfig is a constant configuration of a daemon that is ready.
type fixedConfig struct{ snapshot *ffconfig.Snapshot }

func (f fixedConfig) Snapshot() *ffconfig.Snapshot { return f.snapshot }

func (fixedConfig) Ready() bool { return true }

func (fixedConfig) ObserveVersion(string, ffconfig.Version) {}

var lookup = &ffconfig.Route{Name: "lookup", Method: "GET", Path: "/coins", Service: "ledger", Resource: "coins", Idempotent: true, TimeoutMillis: 1000}

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
	add(ffconfig.PieceRoute, "lookup", lookup)
	add(ffconfig.PieceContract, "crew", ffconfig.Contract{
		Customer: "crew", KeyHashes: []ffconfig.Digest{ffconfig.DigestOf([]byte("key"))}, Share: 1, RatePerSecond: 9, Burst: 9,
		Concurrency: 9, MaxBodyBytes: 99, MaxConnections: 9, Routes: []string{"lookup"},
	})
	s, err := ffconfig.NewSnapshot(m, ffconfig.Version{Number: 1}, content)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func newServer(t testing.TB, g ffforward.Gate, incarnation uint64) *ffforward.Server {
	f := fixedConfig{newSnapshot(t)}
	return &ffforward.Server{VM: gateVM, Incarnation: incarnation, Gate: g, Snapshots: f, Readiness: f, Versions: f}
}

// daemon is a running server for forwarded calls.
type daemon struct {
	address string
	stop    func()
}

// serve starts a server for handler on address.
func serve(t testing.TB, address string, handler ffprotocol.DRPCCallServiceServer) *daemon {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	s := &ffpeer.Server{MaxMessageBytes: ffforward.MaxMessageBytes}
	if err := ffprotocol.DRPCRegisterCallService(s, handler); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(ctx, listener)
	}()
	d := &daemon{address: listener.Addr().String(), stop: sync.OnceFunc(func() { cancel(); <-done })}
	t.Cleanup(d.stop)
	return d
}

func newClient(t testing.TB) *ffforward.Client {
	c := &ffforward.Client{LookUpDelay: shortLookUpDelay, Self: "entry"}
	t.Cleanup(c.Close)
	return c
}

func vmAt(address string) ffmember.VM {
	return ffmember.VM{Name: gateVM, Service: "ledger", ForwardAddress: address}
}

func newCall(id string) *ffcall.Call {
	return &ffcall.Call{
		ID: id, Customer: "crew", Share: 1, Route: lookup, Deadline: time.Now().Add(testTimeout), Method: "GET", Path: "/coins?year=1890",
		Header: map[string][]string{"Accept": {"text/plain"}}, Body: []byte("rush"), Version: ffconfig.Version{Number: 1},
	}
}
