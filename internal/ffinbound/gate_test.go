package ffinbound_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
	"fireflyfall.dev/fireflyfall/internal/ffhop"
	"fireflyfall.dev/fireflyfall/internal/ffinbound"
	"fireflyfall.dev/fireflyfall/internal/ffmesh"
	"fireflyfall.dev/fireflyfall/internal/ffpace"
)

// dialect sends the ID of a call in the header Priority and accepts every response.
type dialect struct{}

func (dialect) Attempt(http.Header) (string, time.Duration)            { return "", 0 }
func (dialect) Prepare(h http.Header, c *ffmesh.Call, _ time.Duration) { h.Set("Priority", c.ID) }
func (dialect) Classify(*ffmesh.Call, int, http.Header) ffmesh.Verdict { return ffmesh.VerdictAnswer }

func (dialect) Identified(http.Header) bool               { return true }
func (dialect) Notice(http.Header) (ffmesh.Notice, error) { return ffmesh.Notice{}, nil }

type staticTarget struct{ target fffleet.Target }

func (s staticTarget) LocalTarget() (fffleet.Target, bool) { return s.target, true }
func (s staticTarget) MarkLeaving(fffleet.Target)          {}
func (s staticTarget) MarkReplaced(fffleet.Target)         {}
func (s staticTarget) Evacuated() bool                     { return false }
func (s staticTarget) Tolerance() ffpace.Tolerance         { return ffpace.Tolerance{} }
func (s staticTarget) HealthPath() string                  { return "" }

// newGate returns a gate for a target that spends work on each call. order receives the
// IDs of the calls, and maxRunning the largest number in progress at once.
func newGate(t *testing.T, slots int, work time.Duration) (g *ffinbound.Gate, order *[]string, maxRunning *int) {
	t.Helper()
	var mu sync.Mutex
	running := 0
	order, maxRunning = new([]string), new(int)
	address := serveTarget(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		*order = append(*order, r.Header.Get("Priority"))
		running++
		*maxRunning = max(*maxRunning, running)
		mu.Unlock()
		<-time.After(work)
		mu.Lock()
		running--
		mu.Unlock()
	}))
	return &ffinbound.Gate{
		Target:  staticTarget{fffleet.Target{ID: "t", Service: "s", Address: address, Slots: slots}},
		Dialect: dialect{},
		Pool:    &ffhop.Pool{Address: address.String(), Dialer: ffhop.NewDialer(time.Second), MaxIdle: 8},
	}, order, maxRunning
}

// serveTarget serves h as a target does, and returns its address.
func serveTarget(t *testing.T, h http.Handler) netip.AddrPort {
	t.Helper()
	s := &http.Server{Handler: h}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return netip.MustParseAddrPort(l.Addr().String())
}

func newCall(id string, priority int, objective, deadline time.Duration) *ffmesh.Call {
	now := time.Now()
	return &ffmesh.Call{
		ID: id, Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}, Service: "s",
		Priority: priority, Objective: now.Add(objective), Deadline: now.Add(deadline),
	}
}

// TestPriorityOrder checks that slots are granted by priority, and never more than
// there are.
func TestPriorityOrder(t *testing.T) {
	g, order, maxRunning := newGate(t, 1, 40*time.Millisecond)
	var wg sync.WaitGroup
	run := func(id string, priority int) {
		wg.Go(func() { g.Do(context.Background(), newCall(id, priority, 2*time.Second, 3*time.Second)) })
		<-time.After(5 * time.Millisecond)
	}
	run("first", 5)
	run("low", 2)
	run("high", 0)
	run("mid", 1)
	wg.Wait()
	want := []string{"first", "high", "mid", "low"}
	for i, id := range want {
		if (*order)[i] != id {
			t.Fatalf("order %v, want %v", *order, want)
		}
	}
	if *maxRunning != 1 {
		t.Errorf("%d calls ran at once", *maxRunning)
	}
}

// TestRefuseLate checks that calls that cannot finish in time are refused early, are
// reported as not run, and do not reach the target.
func TestRefuseLate(t *testing.T) {
	g, order, _ := newGate(t, 1, 50*time.Millisecond)
	const calls = 30
	var wg sync.WaitGroup
	var mu sync.Mutex
	refused := 0
	for range calls {
		wg.Go(func() {
			start := time.Now()
			r := g.Do(context.Background(), newCall("x", 1, 150*time.Millisecond, 400*time.Millisecond))
			took := time.Since(start)
			mu.Lock()
			defer mu.Unlock()
			if r.Outcome == ffmesh.OutcomeNotRun {
				refused++
				if r.Arrived {
					t.Error("a refused call arrived at the target")
				}
				if took > 400*time.Millisecond {
					t.Errorf("refused after %v", took)
				}
			}
		})
	}
	wg.Wait()
	if refused == 0 || refused+len(*order) != calls {
		t.Errorf("%d refused, %d ran, of %d", refused, len(*order), calls)
	}
}

// TestCancel checks that the slot of a cancelled call is released.
func TestCancel(t *testing.T) {
	g, _, _ := newGate(t, 1, time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	r := g.Do(ctx, newCall("a", 1, time.Second, 2*time.Second))
	if r.Outcome != ffmesh.OutcomeUnknown || r.Reason != ffmesh.ReasonCanceled {
		t.Errorf("got %v %v", r.Outcome, r.Reason)
	}
	if n := g.Running(); n != 0 {
		t.Errorf("%d slots still in use", n)
	}
}

// TestClosed checks that a closed gate refuses new and waiting calls.
func TestClosed(t *testing.T) {
	g, order, _ := newGate(t, 1, 100*time.Millisecond)
	var wg sync.WaitGroup
	for range 3 {
		wg.Go(func() { g.Do(context.Background(), newCall("x", 1, time.Second, 2*time.Second)) })
	}
	<-time.After(30 * time.Millisecond)
	g.Close()
	wg.Wait()
	if r := g.Do(context.Background(), newCall("y", 1, time.Second, 2*time.Second)); r.Reason != ffmesh.ReasonLeaving {
		t.Errorf("got %v", r.Reason)
	}
	if len(*order) != 1 {
		t.Errorf("%d calls ran", len(*order))
	}
}
