package ffoutbound_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
	"fireflyfall.dev/fireflyfall/internal/ffmesh"
	"fireflyfall.dev/fireflyfall/internal/ffoutbound"
	"fireflyfall.dev/fireflyfall/internal/ffroute"
)

// fullPart is a configuration with one route, three quarters of whose requests go to the
// service "full" and the rest to "free". Its gates are those of the targets.
type fullPart struct{ oneRoute }

func (fullPart) Table() *ffroute.Table {
	t := oneRoute{}.Table()
	t.Routes[0].Split = []ffroute.WeightedService{{Service: "full", Weight: 3}, {Service: "free", Weight: 1}}
	return t
}

func (fullPart) Fleet() fffleet.Fleet {
	return fffleet.New([]fffleet.Target{
		{ID: "f", Service: "full", Address: netip.AddrPortFrom(vm(1), 1), Slots: 1},
		{ID: "g", Service: "free", Address: netip.AddrPortFrom(vm(2), 1), Slots: 1},
	})
}

func (p fullPart) Gate(netip.Addr) ffmesh.Gate { return p }

func (fullPart) Do(_ context.Context, c *ffmesh.Call) *ffmesh.Reply {
	if c.Service == "full" {
		return &ffmesh.Reply{Outcome: ffmesh.OutcomeNotRun, Reason: ffmesh.ReasonBusy, Load: ffmesh.Load{Target: c.Target}}
	}
	return &ffmesh.Reply{Outcome: ffmesh.OutcomeRan, Arrived: true, Status: http.StatusOK, Header: http.Header{}}
}

// TestFullPartOfSplit guards against requests that move to another part of a split because
// theirs is full: they are refused, and the other part keeps its share.
func TestFullPartOfSplit(t *testing.T) {
	h := &ffoutbound.Handler{
		Origin: func() string { return "o" }, Config: fullPart{}, Gates: fullPart{}, Dialect: plainDialect{},
		Picker: &ffoutbound.Picker{Loads: &ffoutbound.LoadTracker{}}, Budget: &ffoutbound.RetryBudget{},
	}
	const requests = 400
	served := 0
	for range requests {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "http://h/x", http.NoBody))
		switch w.Code {
		case http.StatusOK:
			served++
		case http.StatusServiceUnavailable:
		default:
			t.Fatalf("status %d", w.Code)
		}
	}
	if served != requests/4 {
		t.Errorf("%d of %d requests were served by the part that has room, want %d", served, requests, requests/4)
	}
}
