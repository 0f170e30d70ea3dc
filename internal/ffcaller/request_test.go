package ffcaller_test

import (
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"testing"
)

// requestCase is one request of testdata/requests.json with its expected result.
type requestCase struct {
	Name    string   `json:"name"`
	Request []string `json:"request"`
	Status  int      `json:"status"`
	Outcome string   `json:"outcome"`
	Reason  string   `json:"reason"`
	// Ran requires that the gate receives the call, with the headers Has and without
	// the headers Lacks.
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

// TestRequests sends each request of the data file. If the daemon keeps the
// connection open, a valid request must succeed on it afterwards.
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
	calls := gate.takeCalls()
	if (len(calls) == 1) != c.Ran {
		t.Fatalf("the gate received %d calls", len(calls))
	}
	for _, name := range c.Has {
		if calls[0].Header.Get(name) == "" {
			t.Errorf("the target does not receive %s", name)
		}
	}
	for _, name := range c.Lacks {
		if calls[0].Header.Get(name) != "" {
			t.Errorf("the target receives %s", name)
		}
	}
}
