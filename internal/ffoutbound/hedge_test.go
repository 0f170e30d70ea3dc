package ffoutbound_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffbudget"
	"fireflyfall.dev/fireflyfall/internal/fffleet"
	"fireflyfall.dev/fireflyfall/internal/ffmesh"
	"fireflyfall.dev/fireflyfall/internal/ffoutbound"
	"fireflyfall.dev/fireflyfall/internal/ffroute"
)

// twoTargets is a configuration with one route to two targets.
type twoTargets struct{ oneRoute }

func (twoTargets) Table() *ffroute.Table {
	t := oneRoute{}.Table()
	t.Routes[0].Attempts, t.Routes[0].Objective = 2, 50*time.Millisecond
	return t
}

func (twoTargets) Fleet() fffleet.Fleet {
	var targets []fffleet.Target
	for n := byte(1); n <= 2; n++ {
		targets = append(targets, fffleet.Target{ID: string('a' + rune(n)), Service: "s", Address: netip.AddrPortFrom(vm(n), 1), Slots: 1})
	}
	return fffleet.New(targets)
}

// hedgedGates are the gates of two targets: the one called first answers with a stream
// after the other one has answered.
type hedgedGates struct {
	first    chan struct{}
	answered chan struct{}
	closed   chan struct{}
}

func (g hedgedGates) Gate(netip.Addr) ffmesh.Gate { return g }

func (g hedgedGates) Do(context.Context, *ffmesh.Call) *ffmesh.Reply {
	reply := &ffmesh.Reply{Outcome: ffmesh.OutcomeRan, Arrived: true, Status: http.StatusOK, Header: http.Header{}}
	select {
	case <-g.first:
		<-g.answered
		reply.Stream = closeSignal{bytes.NewReader(nil), g.closed}
	default:
	}
	return reply
}

// closeSignal signals when it is closed.
type closeSignal struct {
	io.Reader
	closed chan struct{}
}

func (c closeSignal) Close() error {
	close(c.closed)
	return nil
}

func (plainDialect) Notice(http.Header) (ffmesh.Notice, error) { return ffmesh.Notice{}, nil }

// TestLostHedgeKeepsSlot guards against an answer that comes too late and is never closed:
// its slot and its connection would be lost.
func TestLostHedgeKeepsSlot(t *testing.T) {
	g := hedgedGates{first: make(chan struct{}, 1), answered: make(chan struct{}), closed: make(chan struct{})}
	g.first <- struct{}{}
	budget := &ffoutbound.RetryBudget{}
	budget.Set(ffbudget.Config{Ratio: 1, MinRetries: 10, Window: time.Second}, 1, time.Now().Add(-time.Minute))
	h := &ffoutbound.Handler{
		Origin: func() string { return "o" }, Config: twoTargets{}, Gates: g, Dialect: plainDialect{},
		Picker: &ffoutbound.Picker{Loads: &ffoutbound.LoadTracker{}}, Budget: budget,
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "http://h/x", http.NoBody))
	if w.Code != http.StatusOK {
		t.Fatalf("status %d", w.Code)
	}
	close(g.answered)
	select {
	case <-g.closed:
	case <-time.After(time.Second):
		t.Error("the late answer was not closed")
	}
}

// stuckGates are the gates of two targets: the one called first never answers.
type stuckGates struct{ first chan struct{} }

func (g stuckGates) Gate(netip.Addr) ffmesh.Gate { return g }

func (g stuckGates) Do(ctx context.Context, _ *ffmesh.Call) *ffmesh.Reply {
	select {
	case <-g.first:
		<-ctx.Done()
		return &ffmesh.Reply{Arrived: true}
	default:
	}
	return &ffmesh.Reply{Outcome: ffmesh.OutcomeRan, Arrived: true, Status: http.StatusOK, Header: http.Header{}}
}

// sixSlots is a configuration with one route to two targets of six slots each.
type sixSlots struct{ twoTargets }

func (sixSlots) Fleet() fffleet.Fleet {
	targets := twoTargets{}.Fleet().All()
	for i := range targets {
		targets[i].Slots = 6
	}
	return fffleet.New(targets)
}

// TestHedgeWaitsForFreeTarget guards against a slow call that is never hedged because no
// other target was free at the moment at which it turned slow, and against hedges that
// take the last slots in a crowd.
func TestHedgeWaitsForFreeTarget(t *testing.T) {
	const busyFor = 150 * time.Millisecond
	for later, want := range map[int]int{0: http.StatusOK, 5: http.StatusGatewayTimeout} {
		g := stuckGates{first: make(chan struct{}, 1)}
		g.first <- struct{}{}
		budget := &ffoutbound.RetryBudget{}
		budget.Set(ffbudget.Config{Ratio: 1, MinRetries: 10, Window: time.Second}, 1, time.Now().Add(-time.Minute))
		loads := &ffoutbound.LoadTracker{}
		record := func(running int) {
			for _, target := range (sixSlots{}).Fleet().All() {
				load := ffmesh.Load{Target: target.ID, Slots: 6, Running: running}
				loads.RecordHeartbeat(ffoutbound.Location{VM: target.VM()}, load, false, time.Now(), time.Time{})
			}
		}
		record(7)
		time.AfterFunc(busyFor, func() { record(later) })
		h := &ffoutbound.Handler{
			Origin: func() string { return "o" }, Config: sixSlots{}, Gates: g, Dialect: plainDialect{},
			Picker: &ffoutbound.Picker{Loads: loads}, Budget: budget,
		}
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "http://h/x", http.NoBody))
		if w.Code != want {
			t.Errorf("%d calls running: status %d, want %d", later, w.Code, want)
		}
	}
}
