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
)

// plain is a dialect without headers.
type plain struct{}

func (plain) Attempt(http.Header) (string, time.Duration)            { return "", 0 }
func (plain) Prepare(h http.Header, c *ffmesh.Call, _ time.Duration) { h.Set("Priority", c.ID) }
func (plain) Judge(*ffmesh.Call, int, http.Header) ffmesh.Verdict    { return ffmesh.VerdictAnswer }

type local struct{ target fffleet.Target }

func (l local) Local() (fffleet.Target, bool) { return l.target, true }

// newGate returns a gate before a target that works for a while on each call and
// notes the order and the greatest number at once.
func newGate(t *testing.T, slots int, work time.Duration) (g *ffinbound.Gate, order *[]string, most *int) {
	t.Helper()
	var mu sync.Mutex
	running := 0
	order, most = new([]string), new(int)
	s := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		*order = append(*order, r.Header.Get("Priority"))
		running++
		*most = max(*most, running)
		mu.Unlock()
		<-time.After(work)
		mu.Lock()
		running--
		mu.Unlock()
	})}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	address := netip.MustParseAddrPort(l.Addr().String())
	return &ffinbound.Gate{
		Target:  local{fffleet.Target{ID: "t", Service: "s", Address: address, Slots: slots}},
		Dialect: plain{},
		Pool:    &ffhop.Pool{Address: address.String(), Dialer: ffhop.Dialer(time.Second), MaxIdle: 8},
	}, order, most
}

func newCall(id string, priority int, objective, deadline time.Duration) *ffmesh.Call {
	now := time.Now()
	return &ffmesh.Call{
		ID: id, Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}, Service: "s",
		Priority: priority, Objective: now.Add(objective), Deadline: now.Add(deadline),
	}
}

// TestOrder gives slots by priority and never more than there are.
func TestOrder(t *testing.T) {
	g, order, most := newGate(t, 1, 40*time.Millisecond)
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
	if *most != 1 {
		t.Errorf("%d at once", *most)
	}
}

// TestRefuse refuses calls that cannot be in time, soon and as not run, and none
// of them reaches the target.
func TestRefuse(t *testing.T) {
	g, order, _ := newGate(t, 1, 50*time.Millisecond)
	const calls = 30
	var wg sync.WaitGroup
	var mu sync.Mutex
	refused := 0
	for range calls {
		wg.Go(func() {
			began := time.Now()
			r := g.Do(context.Background(), newCall("x", 1, 150*time.Millisecond, 400*time.Millisecond))
			took := time.Since(began)
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

// TestCancel gives the slot of a call back whose entry has left.
func TestCancel(t *testing.T) {
	g, _, _ := newGate(t, 1, time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	r := g.Do(ctx, newCall("a", 1, time.Second, 2*time.Second))
	if r.Outcome != ffmesh.OutcomeUnknown || r.Reason != ffmesh.ReasonCanceled {
		t.Errorf("got %v %v", r.Outcome, r.Reason)
	}
	if n := g.Running(); n != 0 {
		t.Errorf("%d slots are held", n)
	}
}

// TestClosed refuses what comes after the gate was closed, and what waits.
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
