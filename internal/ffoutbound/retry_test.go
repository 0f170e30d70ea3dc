package ffoutbound_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffbudget"
	"fireflyfall.dev/fireflyfall/internal/ffmesh"
	"fireflyfall.dev/fireflyfall/internal/ffoutbound"
	"fireflyfall.dev/fireflyfall/internal/ffroute"
)

// twoUnsafe is a configuration with one route, for requests that may run once, to two
// targets.
type twoUnsafe struct{ twoTargets }

func (twoUnsafe) Table() *ffroute.Table {
	t := twoTargets{}.Table()
	t.Routes[0].Kind = ffroute.KindUnsafe
	return t
}

// waitingGates are the gates of two targets: the one called first refuses the call after
// its objective, the other one runs it.
type waitingGates struct{ first chan struct{} }

func (g waitingGates) Gate(netip.Addr) ffmesh.Gate { return g }

func (g waitingGates) Do(_ context.Context, c *ffmesh.Call) *ffmesh.Reply {
	select {
	case <-g.first:
		<-time.After(time.Until(c.Objective) + time.Millisecond)
		return &ffmesh.Reply{Outcome: ffmesh.OutcomeNotRun, Reason: ffmesh.ReasonDeadline, Load: ffmesh.Load{Target: c.Target}}
	default:
	}
	return &ffmesh.Reply{Outcome: ffmesh.OutcomeRan, Arrived: true, Status: http.StatusOK, Header: http.Header{}}
}

// TestFreeTargetAfterObjective guards against a request that is refused, after it waited in
// vain for one target until its objective, though another one is free and the client
// still waits.
func TestFreeTargetAfterObjective(t *testing.T) {
	g := waitingGates{first: make(chan struct{}, 1)}
	g.first <- struct{}{}
	h := &ffoutbound.Handler{
		Origin: func() string { return "o" }, Config: twoUnsafe{}, Gates: g, Dialect: plainDialect{},
		Picker: &ffoutbound.Picker{Loads: &ffoutbound.LoadTracker{}}, Budget: &ffoutbound.RetryBudget{},
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "http://h/x", http.NoBody))
	if w.Code != http.StatusOK {
		t.Errorf("status %d", w.Code)
	}
}

// oneUnsafe is a configuration with one route, for requests that may be offered twice, to
// one target.
type oneUnsafe struct{ oneRoute }

func (oneUnsafe) Table() *ffroute.Table { return twoUnsafe{}.Table() }

// sheddingGate is the gate of a target that rejects every call.
type sheddingGate struct{}

func (g sheddingGate) Gate(netip.Addr) ffmesh.Gate { return g }

func (sheddingGate) Do(_ context.Context, c *ffmesh.Call) *ffmesh.Reply {
	return &ffmesh.Reply{Outcome: ffmesh.OutcomeNotRun, Reason: ffmesh.ReasonShed, Arrived: true, Load: ffmesh.Load{Target: c.Target}}
}

// TestRetryWithoutTargetSpendsBudget guards against a budget that is spent on retries which
// are not made, since there is no other target.
func TestRetryWithoutTargetSpendsBudget(t *testing.T) {
	const allowed, requests = 10, 20
	budget := ffoutbound.NewRetryBudget(true)
	budget.Set(ffbudget.Config{MinRetries: allowed, Window: time.Minute}, 1, time.Now())
	h := &ffoutbound.Handler{
		Origin: func() string { return "o" }, Config: oneUnsafe{}, Gates: sheddingGate{}, Dialect: plainDialect{},
		Picker: &ffoutbound.Picker{Loads: &ffoutbound.LoadTracker{}}, Budget: budget,
	}
	before := budget.Remaining(time.Now())
	for range requests {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "http://h/x", http.NoBody))
		if w.Code != http.StatusServiceUnavailable {
			t.Errorf("status %d", w.Code)
		}
	}
	if left := budget.Remaining(time.Now()); left != before {
		t.Errorf("%.1f of %.1f retries are left, though none was made", left, before)
	}
}
