package ffcaller_test

import (
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"testing"
)

// requestCase is one request of testdata/requests.json and what it must come to.
type requestCase struct {
	Name    string   `json:"name"`
	Request []string `json:"request"`
	Status  int      `json:"status"`
	Outcome string   `json:"outcome"`
	Reason  string   `json:"reason"`
	// Ran tells that the gate must see the call, with some headers and without others.
	Ran   bool     `json:"ran"`
	Has   []string `json:"has"`
	Lacks []string `json:"lacks"`
}

func readCases(t testing.TB) []requestCase {
	t.Helper()
	content, err := os.ReadFile("testdata/requests.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []requestCase
	if err := json.Unmarshal(content, &cases); err != nil {
		t.Fatal(err)
	}
	return cases
}

func (c requestCase) text() string { return strings.Join(c.Request, "\r\n") }

// TestRequests sends each request of the data file and a good one after it, over
// the same connection where the daemon keeps it open.
func TestRequests(t *testing.T) {
	gate := &fakeGate{}
	address := start(t, gate)
	cases := readCases(t)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			conn := dial(t, address)
			conn.send(t, c.text())
			r := conn.answer(t)
			c.check(t, r, gate)
			if r.Close {
				return
			}
			conn.send(t, cases[0].text())
			cases[0].check(t, conn.answer(t), gate)
			_ = conn.Close()
		})
	}
}

func (c requestCase) check(t *testing.T, r *http.Response, gate *fakeGate) {
	t.Helper()
	outcome, reason := r.Header.Get("Fireflyfall-Outcome"), r.Header.Get("Fireflyfall-Reason")
	if r.StatusCode != c.Status || outcome != c.Outcome || reason != c.Reason {
		t.Fatalf("status %d, outcome %q, reason %q; want %d, %q, %q", r.StatusCode, outcome, reason, c.Status, c.Outcome, c.Reason)
	}
	calls := gate.take()
	if (len(calls) == 1) != c.Ran {
		t.Fatalf("the gate saw %d calls", len(calls))
	}
	for _, name := range c.Has {
		if calls[0].Header.Get(name) == "" {
			t.Errorf("the target does not see %s", name)
		}
	}
	for _, name := range c.Lacks {
		if calls[0].Header.Get(name) != "" {
			t.Errorf("the target sees %s", name)
		}
	}
}
