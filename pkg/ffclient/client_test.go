package ffclient_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/pkg/ffclient"
)

// testTimeout limits the wait for events that must occur.
const testTimeout = 20 * time.Second

// reply defines how a fake daemon answers one request: with an outcome, or by
// closing the connection before or within the answer.
type reply struct {
	outcome  string
	abort    bool
	truncate bool
}

// fakeDaemon sends its replies in order, and repeats the last one.
type fakeDaemon struct {
	mu      sync.Mutex
	replies []reply
	tokens  []string
}

func (d *fakeDaemon) next(r *http.Request) reply {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.URL.Path == "/v1/tokens" {
		return reply{outcome: "ran"}
	}
	d.tokens = append(d.tokens, r.Header.Get("Fireflyfall-Token"))
	first := d.replies[0]
	if len(d.replies) > 1 {
		d.replies = d.replies[1:]
	}
	return first
}

// ServeHTTP implements http.Handler.
func (d *fakeDaemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	next := d.next(r)
	if next.abort {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Fireflyfall-Outcome", next.outcome)
	if next.truncate {
		w.Header().Set("Content-Length", "100")
	}
	_, _ = io.WriteString(w, `{"token":"minted"}`)
	if next.truncate {
		panic(http.ErrAbortHandler)
	}
}

func start(t *testing.T, replies ...reply) (*ffclient.Client, *fakeDaemon) {
	t.Helper()
	d := &fakeDaemon{replies: replies}
	server := httptest.NewServer(d)
	t.Cleanup(server.Close)
	return &ffclient.Client{Addresses: []string{strings.TrimPrefix(server.URL, "http://")}, Key: "key", HTTP: server.Client()}, d
}

func outcomeOf(a *ffclient.Answer, err error) ffclient.Outcome {
	if err == nil {
		return a.Outcome
	}
	var e *ffclient.Error
	if errors.As(err, &e) {
		return e.Outcome
	}
	return "no outcome"
}

// TestOutcome checks that only a complete and valid answer determines the outcome
// of a request that was sent.
func TestOutcome(t *testing.T) {
	for name, c := range map[string]struct {
		reply reply
		want  ffclient.Outcome
	}{
		"ran":       {reply{outcome: "ran"}, ffclient.OutcomeRan},
		"notRun":    {reply{outcome: "notRun"}, ffclient.OutcomeNotRun},
		"unknown":   {reply{outcome: "unknown"}, ffclient.OutcomeUnknown},
		"missing":   {reply{}, ffclient.OutcomeUnknown},
		"invalid":   {reply{outcome: "NotRun"}, ffclient.OutcomeUnknown},
		"aborted":   {reply{abort: true}, ffclient.OutcomeUnknown},
		"truncated": {reply{outcome: "notRun", truncate: true}, ffclient.OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			client, d := start(t, c.reply)
			a, err := client.Do(t.Context(), ffclient.Request{Method: http.MethodPost, Path: "/deposits", Body: []byte("coin")})
			if got := outcomeOf(a, err); got != c.want {
				t.Fatalf("outcome %s, want %s", got, c.want)
			}
			if len(d.tokens) != 1 {
				t.Fatalf("the request was sent %d times", len(d.tokens))
			}
		})
	}
}

// TestOutcomeOfUnsentRequest checks that a refused connection yields OutcomeNotRun,
// but OutcomeUnknown with a token, since an earlier request with it may have run.
func TestOutcomeOfUnsentRequest(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	client := &ffclient.Client{Addresses: []string{listener.Addr().String()}}
	_ = listener.Close()
	for token, want := range map[string]ffclient.Outcome{"": ffclient.OutcomeNotRun, "token": ffclient.OutcomeUnknown} {
		if got := outcomeOf(client.Do(t.Context(), ffclient.Request{Method: http.MethodPost, Path: "/deposits", Token: token})); got != want {
			t.Fatalf("token %q: outcome %s, want %s", token, got, want)
		}
	}
}

// TestDoOnce checks that DoOnce retries with the same token and stops once the
// outcome is known.
func TestDoOnce(t *testing.T) {
	for _, last := range []string{"ran", "notRun"} {
		client, d := start(t, reply{abort: true}, reply{outcome: "unknown"}, reply{truncate: true}, reply{outcome: last}, reply{outcome: "unknown"})
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		a, err := client.DoOnce(ctx, "deposit", ffclient.Request{Method: http.MethodPost, Path: "/deposits"})
		if err != nil || string(a.Outcome) != last {
			t.Fatalf("answer %+v, error %v, tokens %q", a, err, d.tokens)
		}
		if got := strings.Join(d.tokens, " "); got != "minted minted minted minted" {
			t.Fatalf("tokens %q", got)
		}
	}
}
