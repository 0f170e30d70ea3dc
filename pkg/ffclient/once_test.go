package ffclient_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"fireflyfall.dev/fireflyfall/pkg/ffclient"
)

// daemon answers each request with the next outcome, which may carry a reason
// after a colon. "abort" closes the connection without an answer, so that the
// request may still be in flight to the gate.
type daemon struct {
	outcomes []string
	requests int
	// onLast is called when the last outcome is reached.
	onLast func()
}

func (d *daemon) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	outcome := d.outcomes[min(d.requests, len(d.outcomes)-1)]
	d.requests++
	if d.requests >= len(d.outcomes) && d.onLast != nil {
		d.onLast()
	}
	if outcome == "abort" {
		panic(http.ErrAbortHandler)
	}
	outcome, reason, _ := strings.Cut(outcome, ":")
	w.Header().Set("Fireflyfall-Outcome", outcome)
	w.Header().Set("Fireflyfall-Reason", reason)
}

func (d *daemon) doOnce(ctx context.Context) (*ffclient.Answer, error) {
	s := httptest.NewServer(d)
	defer s.Close()
	c := &ffclient.Client{Addresses: []string{strings.TrimPrefix(s.URL, "http://")}}
	return c.DoOnce(ctx, "deposit", ffclient.Request{Method: http.MethodPost, Path: "/deposits", Token: "token"})
}

// TestNotRunIsFinal checks that DoOnce retries only until the outcome is known. A
// gate that refuses a call as not run spends its token, so that no earlier request
// that is still in flight runs.
func TestNotRunIsFinal(t *testing.T) {
	for _, c := range []struct {
		outcomes string
		want     ffclient.Outcome
		requests int
	}{
		{"notRun", ffclient.OutcomeNotRun, 1},
		{"ran", ffclient.OutcomeRan, 1},
		{"unknown notRun ran", ffclient.OutcomeNotRun, 2},
		{"unknown abort ran notRun", ffclient.OutcomeRan, 3},
		{"unknown:unauthenticated ran", ffclient.OutcomeUnknown, 1},
		{"abort unknown:tooLarge ran", ffclient.OutcomeUnknown, 2},
		{"abort notRun:token ran", ffclient.OutcomeNotRun, 2},
		{"abort unknown notRun ran", ffclient.OutcomeNotRun, 3},
	} {
		d := &daemon{outcomes: strings.Fields(c.outcomes)}
		answer, err := d.doOnce(t.Context())
		if err != nil || answer.Outcome != c.want || d.requests != c.requests {
			t.Errorf("%s: answer %+v after %d requests, error %v", c.outcomes, answer, d.requests, err)
		}
	}
}

// TestDoOnceReportsUnknownWhenContextEnds checks that DoOnce does not report a
// known outcome when ctx ends before a gate has reported one.
func TestDoOnceReportsUnknownWhenContextEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	d := &daemon{outcomes: []string{"abort", "unknown", "unknown"}, onLast: cancel}
	answer, err := d.doOnce(ctx)
	if err == nil && answer.Outcome != ffclient.OutcomeUnknown {
		t.Fatalf("answer %+v", answer)
	}
}
