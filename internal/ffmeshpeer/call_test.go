package ffmeshpeer_test

import (
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

// gate runs every call and keeps the last.
type gate struct{ last *ffmesh.Call }

func (g *gate) Do(_ context.Context, c *ffmesh.Call) *ffmesh.Reply {
	g.last = c
	return &ffmesh.Reply{Outcome: ffmesh.OutcomeRan, Arrived: true, Status: http.StatusOK, Header: http.Header{}, Load: ffmesh.Load{Target: "t", Failing: 0.5}}
}

func (*gate) Refusal(*ffmesh.Call) *ffmesh.Reply { return nil }

func (*gate) Receive(context.Context, *ffmesh.Call, func()) (done func(), refusal *ffmesh.Reply) {
	return func() {}, nil
}

// TestCall carries calls to a gate whole or after consent, with what the gate must
// know, and one without a body also while the memory for bodies is full.
func TestCall(t *testing.T) {
	memory := ffmesh.NewMemory(ffmesh.HeldBody)
	release, _ := memory.Hold(ffmesh.HeldBody)
	g := &gate{}
	s := &http.Server{Handler: &ffmeshpeer.Handler{Gate: g, Memory: memory}}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(l) }()
	defer func() { _ = s.Close() }()
	address := netip.MustParseAddrPort(l.Addr().String())
	client := &ffmeshpeer.Client{Port: address.Port()}
	for name, tc := range map[string]struct {
		silent func()
		body   string
		full   bool
		want   ffmesh.Outcome
	}{
		"whole":              {func() {}, "", true, ffmesh.OutcomeRan},
		"consent":            {nil, "", true, ffmesh.OutcomeRan},
		"body without room":  {nil, "body", true, ffmesh.OutcomeNotRun},
		"whole with body":    {func() {}, "body", false, ffmesh.OutcomeRan},
		"body after consent": {nil, "body", false, ffmesh.OutcomeRan},
	} {
		if !tc.full {
			release()
		}
		now := time.Now()
		c := &ffmesh.Call{
			ID: name, Method: http.MethodPost, URI: "/x", Host: "h", Header: http.Header{}, Service: "s", Kind: ffroute.KindSafe,
			Body: []byte(tc.body), Length: int64(len(tc.body)), Deadline: now.Add(time.Second), Objective: now.Add(time.Second), Received: now,
			Silent: tc.silent,
		}
		reply := client.Gate(address.Addr()).Do(t.Context(), c)
		if reply.Outcome != tc.want {
			t.Errorf("%s: %v %v", name, reply.Outcome, reply.Reason)
		}
		if tc.want == ffmesh.OutcomeRan && (g.last.ID != name || string(g.last.Body) != tc.body || reply.Load.Failing != 0.5) {
			t.Errorf("%s: the gate got %q with %q", name, g.last.ID, g.last.Body)
		}
		if !tc.full {
			release, _ = memory.Hold(ffmesh.HeldBody)
		}
	}
}
