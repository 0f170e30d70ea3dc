package fftarget_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	_ "fireflyfall.dev/fireflyfall/internal/ffseed" // fixes the seed

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/internal/ffstand"
	"fireflyfall.dev/fireflyfall/internal/fftarget"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// cleaner is the Cleanup method of testing.T and rapid.T.
type cleaner interface{ Cleanup(f func()) }

func connect(t cleaner, settings fftarget.Settings) *fftarget.Client {
	client := fftarget.NewClient(settings)
	t.Cleanup(client.Close)
	return client
}

func newCall(id, behaviour, body string) *ffcall.Call {
	return &ffcall.Call{
		ID:     id,
		Method: http.MethodPost,
		Path:   "/deposits?day=1",
		Header: http.Header{"Script": {behaviour}},
		Body:   []byte(body),
	}
}

var behaviours = []string{
	behaviourAnswer, behaviourChunked, behaviourDrop, behaviourNone,
	behaviourCut, behaviourUnmarked, behaviourShed, behaviourBlank,
}

// allowed reports whether a call with the behaviour may have this result after the
// target received it the given number of times.
func allowed(behaviour string, times int, reply *ffcall.Reply, err error) bool {
	if err == nil {
		return times == 1 && (behaviour == behaviourAnswer || behaviour == behaviourChunked || behaviour == behaviourDrop)
	}
	if ffcall.OutcomeOf(err) == ffcall.OutcomeNotRun {
		return reply == nil && (times == 0 || behaviour == behaviourShed)
	}
	return reply == nil && times <= 1
}

func TestCallRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		target := startScripted(t)
		client := connect(t, fftarget.Settings{Address: target.listener.Addr().String()})
		for i := range rapid.IntRange(1, 8).Draw(t, "calls") {
			behaviour := rapid.SampledFrom(behaviours).Draw(t, "behaviour")
			call := newCall(fmt.Sprint("call", i), behaviour, rapid.SampledFrom([]string{"", "coins"}).Draw(t, "body"))
			call.Method = rapid.SampledFrom([]string{http.MethodGet, http.MethodPost, http.MethodPut}).Draw(t, "method")
			if rapid.Bool().Draw(t, "key") {
				call.Header.Set("Idempotency-Key", call.ID)
			}
			reply, err := client.Do(t.Context(), call)
			if times := target.times(call.ID); !allowed(behaviour, times, reply, err) {
				t.Fatalf("%s %s reached the target %d times, reply %+v, error %v", behaviour, call.Method, times, reply, err)
			}
			if want := call.ID + ":" + string(call.Body); err == nil && string(reply.Body) != want {
				t.Fatalf("answer %q, want %q", reply.Body, want)
			}
		}
	})
}

// TestErrorKinds sends each call over a new connection, so that the result does not
// depend on earlier calls.
func TestErrorKinds(t *testing.T) {
	want := map[string]string{
		behaviourAnswer:   "unknown ran",
		behaviourChunked:  "unknown ran",
		behaviourDrop:     "unknown ran",
		behaviourNone:     "unreachable unknown",
		behaviourCut:      "truncated unknown",
		behaviourUnmarked: "truncated unknown",
		behaviourShed:     "overload notRun",
		behaviourZero:     "unknown ran",
		behaviourBlank:    "truncated unknown",
		behaviourSilent:   "deadline unknown",
	}
	for behaviour, end := range want {
		t.Run(behaviour, func(t *testing.T) {
			target := startScripted(t)
			client := connect(t, fftarget.Settings{Address: target.listener.Addr().String()})
			call := newCall("call", behaviour, "coins")
			if behaviour == behaviourSilent {
				call.Deadline = time.Now().Add(50 * time.Millisecond)
			}
			_, err := client.Do(t.Context(), call)
			outcome := ffcall.OutcomeOf(err)
			if err == nil {
				outcome = ffcall.OutcomeRan
			}
			if got := fmt.Sprint(ffcall.KindOf(err), " ", outcome); got != end {
				t.Fatalf("%s (%v), want %s", got, err, end)
			}
		})
	}
}

func TestClosedPortIsNotRun(t *testing.T) {
	target := startScripted(t)
	target.stop()
	client := connect(t, fftarget.Settings{Address: target.listener.Addr().String()})
	_, err := client.Do(t.Context(), newCall("call", behaviourAnswer, "coins"))
	if ffcall.OutcomeOf(err) != ffcall.OutcomeNotRun || ffcall.KindOf(err) != ffcall.KindUnreachable {
		t.Fatal(err)
	}
	if client.Probe(t.Context()) == nil {
		t.Fatal("ready without a listener")
	}
}

// TestCancelledNotRunNeverArrives cancels calls at arbitrary points. A call that is
// reported as not run must not reach the target.
func TestCancelledNotRunNeverArrives(t *testing.T) {
	const calls = 400
	target := startScripted(t)
	client := connect(t, fftarget.Settings{Address: target.listener.Addr().String(), MaxConnections: 4})
	errs := make([]error, calls)
	var group sync.WaitGroup
	for i := range calls {
		ctx, cancel := context.WithCancel(t.Context())
		group.Go(func() { _, errs[i] = client.Do(ctx, newCall(fmt.Sprint("call", i), behaviourAnswer, "coins")) })
		group.Go(cancel)
	}
	group.Wait()
	client.Close()
	target.stop()
	for i, err := range errs {
		times := target.times(fmt.Sprint("call", i))
		if err != nil && ffcall.OutcomeOf(err) == ffcall.OutcomeNotRun && times > 0 {
			t.Fatalf("call %d arrived, but %v", i, err)
		}
	}
}

func TestConnectionsAreBounded(t *testing.T) {
	target := startScripted(t)
	client := connect(t, fftarget.Settings{Address: target.listener.Addr().String(), MaxConnections: 2})
	var group sync.WaitGroup
	for i := range 20 {
		group.Go(func() {
			if _, err := client.Do(t.Context(), newCall(fmt.Sprint("call", i), behaviourAnswer, "coins")); err != nil {
				t.Error(err)
			}
		})
	}
	group.Wait()
	client.Close()
	target.stop()
	if target.maxOpen > 2 {
		t.Fatalf("%d connections open at once", target.maxOpen)
	}
}

func TestReplyIsBounded(t *testing.T) {
	target := startScripted(t)
	client := connect(t, fftarget.Settings{Address: target.listener.Addr().String(), MaxReplyBytes: 10})
	for body, kind := range map[string]ffcall.Kind{"12345": ffcall.KindUnknown, "123456": ffcall.KindTooLarge} {
		_, err := client.Do(t.Context(), newCall("call", behaviourAnswer, body))
		if ffcall.KindOf(err) != kind || (err == nil) != (kind == ffcall.KindUnknown) {
			t.Fatalf("%d bytes: %v", len("call:"+body), err)
		}
	}
}

func TestRequestAndReplyHeaders(t *testing.T) {
	var seen http.Request
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen = *r
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "1")
		w.Header().Set("X-Kept", "1")
	}))
	defer server.Close()
	client := connect(t, fftarget.Settings{Address: server.Listener.Addr().String()})
	call := newCall("call", "", "")
	call.Customer = "porto"
	call.Path = "//photos/a%2Fb?x=%20"
	call.Deadline = time.Now().Add(time.Minute)
	call.Header = http.Header{
		"X-Own": {"1"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}, "Expect": {"100-continue"},
		"fireflyfall-customer": {"other"}, "Fireflyfall-Token": {"secret"},
	}
	reply, err := client.Do(t.Context(), call)
	if err != nil {
		t.Fatal(err)
	}
	if reply.Header.Get("X-Kept") != "1" || reply.Header.Get("X-Hop") != "" || reply.Header.Get("Connection") != "" {
		t.Fatalf("header of the reply %v", reply.Header)
	}
	if seen.RequestURI != call.Path || seen.Header.Get("Fireflyfall-Remaining-Millis") == "" {
		t.Fatalf("request of %q, header %v", seen.RequestURI, seen.Header)
	}
	seen.Header.Del("Fireflyfall-Remaining-Millis")
	want := "map[Content-Length:[0] Fireflyfall-Call-Id:[call] Fireflyfall-Customer:[porto] X-Own:[1]]"
	if got := fmt.Sprint(seen.Header); got != want {
		t.Fatalf("header %s, want %s", got, want)
	}
}

func TestWithStandIn(t *testing.T) {
	target := ffstand.NewTarget(ffstand.TargetSettings{Name: "palermo-1"})
	server := httptest.NewServer(target.Handler())
	defer server.Close()
	client := connect(t, fftarget.Settings{Address: server.Listener.Addr().String(), ProbePath: "/health"})
	if err := client.Probe(t.Context()); err != nil {
		t.Fatal(err)
	}
	reply, err := client.Do(t.Context(), newCall("call", "", strings.Repeat("photo", 1<<20)))
	if err != nil {
		t.Fatal(err)
	}
	var answer ffstand.Answer
	if err := json.Unmarshal(reply.Body, &answer); err != nil || !answer.Intact() || answer.CallID != "call" {
		t.Fatalf("answer %+v, error %v", answer, err)
	}
	if err := target.SetState(ffstand.TargetState{Draining: true}); err != nil {
		t.Fatal(err)
	}
	if _, err := client.Do(t.Context(), newCall("late", "", "")); ffcall.OutcomeOf(err) != ffcall.OutcomeNotRun {
		t.Fatal(err)
	}
	if client.Probe(t.Context()) == nil || len(target.Executions()) != 1 {
		t.Fatalf("executions %+v", target.Executions())
	}
}
