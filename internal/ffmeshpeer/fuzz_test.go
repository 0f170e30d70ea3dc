package ffmeshpeer

import (
	"context"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffmesh"
)

// recordingGate records the last call.
type recordingGate struct{ last *ffmesh.Call }

func (g *recordingGate) Do(_ context.Context, c *ffmesh.Call) *ffmesh.Reply {
	g.last = c
	return &ffmesh.Reply{Outcome: ffmesh.OutcomeRan, Arrived: true, Status: http.StatusOK, Header: http.Header{}}
}

func (*recordingGate) Refusal(*ffmesh.Call) *ffmesh.Reply { return nil }

func (*recordingGate) AdmitBody(context.Context, *ffmesh.Call, func()) (done func(), refusal *ffmesh.Reply) {
	return func() {}, nil
}

// callHeadOf returns the header value of a call head with the given length and time left.
func callHeadOf(f *testing.F, length int64, left time.Duration) string {
	f.Helper()
	v, err := encode(callHead{ID: "a", Service: "s", Target: "t", Length: length, Left: left, Objective: left})
	if err != nil {
		f.Fatal(err)
	}
	return v
}

// FuzzCallHead checks that no head of a call ends the daemon or its calls, and that a call
// gives back the memory that it reserved.
func FuzzCallHead(f *testing.F) {
	for _, length := range []int64{0, 3, -1, math.MinInt64, math.MaxInt64} {
		f.Add(callHeadOf(f, length, time.Second), "3.5", "1", "abc")
		f.Add(callHeadOf(f, length, math.MinInt64), "-Inf", "1e300", "")
	}
	f.Add("AAAA", "NaN", "-1", "abc")
	f.Add("", "", "", "")
	f.Fuzz(func(t *testing.T, head, limit, share, body string) {
		const memory = ffmesh.MaxBufferedBody
		g, m := &recordingGate{}, ffmesh.NewMemory(memory)
		h := &Handler{Gate: g, Memory: m}
		r := httptest.NewRequest(http.MethodPost, "http://h/x", strings.NewReader(body))
		r.Header = http.Header{callHeader: {head}, limitHeader: {limit}, retryShareHeader: {share}}
		serveCall(t, h, r)
		if c := g.last; c != nil && (c.RetryShare < 0 || c.RetryShare > 1 || math.IsNaN(c.TargetLimit)) {
			t.Errorf("retry share %v, limit %v", c.RetryShare, c.TargetLimit)
		}
		if _, ok := m.Reserve(memory); !ok {
			t.Error("memory is lost")
		}
		if _, ok := m.Reserve(1); ok {
			t.Error("more memory than there is")
		}
	})
}

// serveCall serves r, and lets the handler abort its connection.
func serveCall(t *testing.T, h *Handler, r *http.Request) {
	t.Helper()
	defer func() {
		if err := recover(); err != nil && err != http.ErrAbortHandler {
			t.Fatalf("%v", err)
		}
	}()
	h.ServeHTTP(httptest.NewRecorder(), r)
}

// FuzzReplyHead checks that no head of a reply ends the daemon that called.
func FuzzReplyHead(f *testing.F) {
	v, err := encodeReplyHead(&ffmesh.Reply{Outcome: ffmesh.OutcomeRan, Status: http.StatusOK, Load: ffmesh.Load{Target: "t"}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(v)
	f.Add("AAAA")
	f.Fuzz(func(_ *testing.T, value string) {
		var head replyHead
		if err := decode(value, &head); err == nil {
			_ = head.reply()
		}
	})
}
