package ffoutbound_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffbudget"
	"fireflyfall.dev/fireflyfall/internal/ffmesh"
	"fireflyfall.dev/fireflyfall/internal/ffoutbound"
)

// streamingGates are gates whose first answer is a stream with the given outcome and
// status. onAnswer is called before that answer, if it is set; all later ones are short.
type streamingGates struct {
	first    chan struct{}
	outcome  ffmesh.Outcome
	status   int
	onAnswer func()
	closed   *atomic.Bool
}

func (g streamingGates) Gate(netip.Addr) ffmesh.Gate { return g }

func (g streamingGates) Do(context.Context, *ffmesh.Call) *ffmesh.Reply {
	reply := &ffmesh.Reply{Outcome: ffmesh.OutcomeRan, Arrived: true, Status: http.StatusOK, Header: http.Header{}}
	select {
	case <-g.first:
		if g.onAnswer != nil {
			g.onAnswer()
		}
		reply.Outcome, reply.Status = g.outcome, g.status
		reply.Stream = closeFlag{bytes.NewReader(nil), g.closed}
	default:
	}
	return reply
}

// closeFlag records that it was closed.
type closeFlag struct {
	*bytes.Reader
	closed *atomic.Bool
}

func (c closeFlag) Close() error {
	c.closed.Store(true)
	return nil
}

// TestUnusedAnswerIsNotClosed guards against a long answer that is not passed on and never
// closed, which would keep its slot and its connection: its client has left, a retry gave
// a better answer, or it cannot be one.
func TestUnusedAnswerIsNotClosed(t *testing.T) {
	for name, tc := range map[string]struct {
		outcome ffmesh.Outcome
		status  int
		leaves  bool
	}{
		"client has left": {ffmesh.OutcomeRan, http.StatusOK, true},
		"better answer":   {ffmesh.OutcomeRan, http.StatusBadGateway, false},
		"no answer":       {ffmesh.OutcomeNotRun, 0, false},
	} {
		ctx, leave := context.WithCancel(t.Context())
		g := streamingGates{first: make(chan struct{}, 1), outcome: tc.outcome, status: tc.status, closed: &atomic.Bool{}}
		g.first <- struct{}{}
		if tc.leaves {
			g.onAnswer = leave
		}
		budget := &ffoutbound.RetryBudget{}
		budget.Set(ffbudget.Config{Ratio: 1, MinRetries: 10, Window: time.Second}, 1, time.Now().Add(-time.Minute))
		h := &ffoutbound.Handler{
			Origin: func() string { return "o" }, Config: twoTargets{}, Gates: g, Dialect: plainDialect{},
			Picker: &ffoutbound.Picker{Loads: &ffoutbound.LoadTracker{}}, Budget: budget,
		}
		serveAborting(h, httptest.NewRequestWithContext(ctx, http.MethodGet, "http://h/x", http.NoBody))
		if !g.closed.Load() {
			t.Errorf("%s: the answer was not closed", name)
		}
		leave()
	}
}

// serveAborting serves a request whose client may have left.
func serveAborting(h *ffoutbound.Handler, r *http.Request) {
	defer func() {
		if reason := recover(); reason != nil && reason != http.ErrAbortHandler {
			panic(reason)
		}
	}()
	h.ServeHTTP(httptest.NewRecorder(), r)
}
