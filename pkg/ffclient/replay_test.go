package ffclient_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"fireflyfall.dev/fireflyfall/pkg/ffclient"
)

// TestReplayedRequestIsNotReportedAsNotRun breaks a kept connection after a
// request came over it. The HTTP client sends the request again by itself; that
// the second copy did not run tells nothing of the first.
func TestReplayedRequestIsNotReportedAsNotRun(t *testing.T) {
	d := &daemon{outcomes: []string{"ran", "cut", "notRun"}}
	s := httptest.NewServer(d)
	defer s.Close()
	c := &ffclient.Client{Addresses: []string{strings.TrimPrefix(s.URL, "http://")}, HTTP: s.Client()}
	lookup := ffclient.Request{Method: http.MethodGet, Path: "/availability"}
	if _, err := c.Do(t.Context(), lookup); err != nil {
		t.Fatal(err)
	}
	answer, err := c.Do(t.Context(), lookup)
	if err != nil {
		return
	}
	if d.asked != 3 || answer.Outcome != ffclient.OutcomeUnknown {
		t.Fatalf("%s after %d requests", answer.Outcome, d.asked)
	}
}
