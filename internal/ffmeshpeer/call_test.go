package ffmeshpeer_test

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffmesh"
	"fireflyfall.dev/fireflyfall/internal/ffmeshpeer"
	"fireflyfall.dev/fireflyfall/internal/ffroute"
)

// fakeGate runs every call, answers it with status, 200 if that is 0, and records the last one.
type fakeGate struct {
	last   *ffmesh.Call
	status int
}

func (g *fakeGate) Do(_ context.Context, c *ffmesh.Call) *ffmesh.Reply {
	g.last = c
	return &ffmesh.Reply{Outcome: ffmesh.OutcomeRan, Arrived: true, Status: cmp.Or(g.status, http.StatusOK), Header: http.Header{}, Load: ffmesh.Load{Target: "t", Failing: 0.5}}
}

func (*fakeGate) Refusal(*ffmesh.Call) *ffmesh.Reply { return nil }

func (*fakeGate) AdmitBody(context.Context, *ffmesh.Call, func()) (done func(), refusal *ffmesh.Reply) {
	return func() {}, nil
}

// serve serves g on loopback and returns a client's gate to it.
func serve(t *testing.T, g *fakeGate, memory *ffmesh.Memory) ffmesh.Gate {
	t.Helper()
	s := &http.Server{Handler: &ffmeshpeer.Handler{Gate: g, Memory: memory}}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	address := netip.MustParseAddrPort(l.Addr().String())
	return (&ffmeshpeer.Client{Port: address.Port()}).Gate(address.Addr())
}

// TestLimitForgedByClient guards against a client whose request makes a gate believe that
// its target takes few calls.
func TestLimitForgedByClient(t *testing.T) {
	g := &fakeGate{}
	gate := serve(t, g, nil)
	for known, want := range map[float64]float64{0: 0, 7.5: 7.5} {
		now := time.Now()
		c := &ffmesh.Call{
			ID: "a", Method: http.MethodGet, URI: "/x", Host: "h", Header: http.Header{"Fireflyfall-Limit": {"0.001"}}, Service: "s",
			Kind: ffroute.KindSafe, TargetLimit: known, Deadline: now.Add(time.Second), Objective: now.Add(time.Second), Received: now,
		}
		if reply := gate.Do(t.Context(), c); reply.Outcome != ffmesh.OutcomeRan || g.last.TargetLimit != want {
			t.Errorf("%v: the gate was told %v", known, g.last.TargetLimit)
		}
	}
}

// TestCall checks that a call reaches the gate with its ID and body, sent either at
// once or after the gate asked for the body, and that a call without a body is
// accepted while the memory for bodies is full.
func TestCall(t *testing.T) {
	memory := ffmesh.NewMemory(ffmesh.MaxBufferedBody)
	release, _ := memory.Reserve(ffmesh.MaxBufferedBody)
	g := &fakeGate{}
	gate := serve(t, g, memory)
	for name, tc := range map[string]struct {
		silent     func()
		body       string
		memoryFull bool
		want       ffmesh.Outcome
	}{
		"at once":         {func() {}, "", true, ffmesh.OutcomeRan},
		"on request":      {nil, "", true, ffmesh.OutcomeRan},
		"body, no memory": {nil, "body", true, ffmesh.OutcomeNotRun},
		"body at once":    {func() {}, "body", false, ffmesh.OutcomeRan},
		"body on request": {nil, "body", false, ffmesh.OutcomeRan},
	} {
		if !tc.memoryFull {
			release()
		}
		now := time.Now()
		c := &ffmesh.Call{
			ID: name, Method: http.MethodPost, URI: "/x", Host: "h", Header: http.Header{}, Service: "s", Kind: ffroute.KindSafe,
			Body: []byte(tc.body), Length: int64(len(tc.body)), Deadline: now.Add(time.Second), Objective: now.Add(time.Second), Received: now,
			OnSilence: tc.silent,
		}
		reply := gate.Do(t.Context(), c)
		if reply.Outcome != tc.want {
			t.Errorf("%s: %v %v", name, reply.Outcome, reply.Reason)
		}
		if tc.want == ffmesh.OutcomeRan && (g.last.ID != name || string(g.last.Body) != tc.body || reply.Load.Failing != 0.5) {
			t.Errorf("%s: the gate got %q with %q", name, g.last.ID, g.last.Body)
		}
		if !tc.memoryFull {
			release, _ = memory.Reserve(ffmesh.MaxBufferedBody)
		}
	}
}

// TestStatusOfReply guards against a reply of a gate with a status that is none of an answer,
// in place of which a client gets another one.
func TestStatusOfReply(t *testing.T) {
	g := &fakeGate{}
	gate := serve(t, g, nil)
	for status, want := range map[int]ffmesh.Outcome{
		-1: ffmesh.OutcomeUnknown, 99: ffmesh.OutcomeUnknown, 101: ffmesh.OutcomeUnknown, 199: ffmesh.OutcomeUnknown,
		200: ffmesh.OutcomeRan, 503: ffmesh.OutcomeRan, 999: ffmesh.OutcomeRan, 1000: ffmesh.OutcomeUnknown,
	} {
		g.status = status
		now := time.Now()
		c := &ffmesh.Call{
			ID: "a", Method: http.MethodGet, URI: "/x", Host: "h", Header: http.Header{}, Service: "s",
			Kind: ffroute.KindSafe, Deadline: now.Add(time.Second), Objective: now.Add(time.Second), Received: now,
		}
		if reply := gate.Do(t.Context(), c); reply.Outcome != want || !reply.Arrived {
			t.Errorf("status %d: %v %v", status, reply.Outcome, reply.Reason)
		}
	}
}
