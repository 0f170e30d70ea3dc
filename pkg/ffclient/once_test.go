package ffclient_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"fireflyfall.dev/fireflyfall/pkg/ffclient"
)

// daemon answers each request with the next of some outcomes; "cut" breaks the
// connection, so that the request may still be on its way to the gate.
type daemon struct {
	outcomes []string
	asked    int
	// last is called at the last outcome.
	last func()
}

func (d *daemon) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	outcome := d.outcomes[min(d.asked, len(d.outcomes)-1)]
	d.asked++
	if d.asked >= len(d.outcomes) && d.last != nil {
		d.last()
	}
	if outcome == "cut" {
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

// TestNotRunIsFinal checks that DoOnce asks until the outcome is known and no
// longer: a gate that refuses a call as not run spends its token, so that no
// earlier request which is still on its way runs.
func TestNotRunIsFinal(t *testing.T) {
	for _, c := range []struct {
		outcomes string
		want     ffclient.Outcome
		asked    int
	}{
		{"notRun", ffclient.OutcomeNotRun, 1},
		{"ran", ffclient.OutcomeRan, 1},
		{"unknown notRun ran", ffclient.OutcomeNotRun, 2},
		{"unknown cut ran notRun", ffclient.OutcomeRan, 3},
		{"unknown:unauthenticated ran", ffclient.OutcomeUnknown, 1},
		{"cut unknown:tooLarge ran", ffclient.OutcomeUnknown, 2},
		{"cut notRun:token ran", ffclient.OutcomeNotRun, 2},
		{"cut unknown notRun ran", ffclient.OutcomeNotRun, 3},
	} {
		d := &daemon{outcomes: strings.Fields(c.outcomes)}
		answer, err := d.doOnce(t.Context())
		if err != nil || answer.Outcome != c.want || d.asked != c.asked {
			t.Errorf("%s: answer %+v after %d requests, error %v", c.outcomes, answer, d.asked, err)
		}
	}
}

// TestLostRequestIsUnknownAtTheEnd checks what DoOnce reports when time is over.
func TestLostRequestIsUnknownAtTheEnd(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	d := &daemon{outcomes: []string{"cut", "unknown", "unknown"}, last: cancel}
	answer, err := d.doOnce(ctx)
	if err == nil && answer.Outcome != ffclient.OutcomeUnknown {
		t.Fatalf("answer %+v", answer)
	}
}
