package ffclient_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"fireflyfall.dev/fireflyfall/pkg/ffclient"
)

// TestReplayedRequestIsNotReportedAsNotRun closes a reused connection after a
// request was received on it. net/http then resends the request on its own. That
// the second copy did not run does not prove that the first did not.
func TestReplayedRequestIsNotReportedAsNotRun(t *testing.T) {
	d := &daemon{outcomes: []string{"ran", "abort", "notRun"}}
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
	if d.requests != 3 || answer.Outcome != ffclient.OutcomeUnknown {
		t.Fatalf("%s after %d requests", answer.Outcome, d.requests)
	}
}
