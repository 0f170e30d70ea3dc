package ffoutbound_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
	"fireflyfall.dev/fireflyfall/internal/ffmesh"
	"fireflyfall.dev/fireflyfall/internal/ffoutbound"
	"fireflyfall.dev/fireflyfall/internal/ffroute"
)

// oneRoute is a configuration with one route and one target.
type oneRoute struct{}

func (oneRoute) Table() *ffroute.Table {
	r := &ffroute.Route{Name: "r", Host: "h", Prefix: "/", Kind: ffroute.KindSafe, Attempts: 1, Objective: time.Second}
	r.Split = []ffroute.WeightedService{{Service: "s", Weight: 1}}
	return (&ffroute.Table{Version: 1, Routes: []*ffroute.Route{r}}).Index()
}

func (oneRoute) Fleet() fffleet.Fleet {
	return fffleet.New([]fffleet.Target{{ID: "t", Service: "s", Address: netip.AddrPortFrom(vm(1), 1), Slots: 1}})
}

func (oneRoute) MarkLeaving(fffleet.Target) {}

func (oneRoute) MarkReplaced(fffleet.Target) {}

func (oneRoute) ExpectedAt() time.Time { return time.Time{} }

// panickingGate fails on every call.
type panickingGate struct{}

func (g panickingGate) Gate(netip.Addr) ffmesh.Gate                  { return g }
func (panickingGate) Do(context.Context, *ffmesh.Call) *ffmesh.Reply { panic("unexpected") }

// plainDialect finds no headers.
type plainDialect struct{ ffmesh.Dialect }

func (plainDialect) Attempt(http.Header) (string, time.Duration) { return "a", time.Second }

// TestPanicEndsProcess guards against an unexpected error in one call that ends the process
// with all other requests.
func TestPanicEndsProcess(t *testing.T) {
	h := &ffoutbound.Handler{
		Origin: func() string { return "o" }, Config: oneRoute{}, Gates: panickingGate{}, Dialect: plainDialect{},
		Picker: &ffoutbound.Picker{Loads: &ffoutbound.LoadTracker{}}, Budget: &ffoutbound.RetryBudget{},
	}
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodGet, "http://h/x", http.NoBody)
	h.ServeHTTP(w, r)
	if w.Code != http.StatusBadGateway {
		t.Errorf("status %d", w.Code)
	}
}
