package ffmeshsoak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffprocess"
	"fireflyfall.dev/fireflyfall/platform/ffstandin"
)

// logLine holds the fields of a daemon's log line that describe a request.
type logLine struct {
	VM      string `json:"vm"`
	Message string `json:"message"`
	Request string `json:"request"`
	Reason  string `json:"reason"`
	Status  int    `json:"status"`
	Target  string `json:"target"`
	Next    string `json:"next"`
	Running int    `json:"running"`
	Slots   int    `json:"slots"`
	// Elapsed is in milliseconds.
	Elapsed float64 `json:"elapsed"`
}

// requestLines returns the log lines of all daemons for a request, by message.
func (f *fleet) requestLines(t *testing.T, id string) map[string]logLine {
	t.Helper()
	lines := make(map[string]logLine)
	for _, v := range f.vms {
		for _, text := range v.process.Lines() {
			var l logLine
			if err := json.Unmarshal([]byte(text), &l); err != nil {
				t.Errorf("%s logged a line that is not JSON: %s", v.config.Name, text)
			} else if l.Request == id {
				lines[l.Message] = l
			}
		}
	}
	return lines
}

// send sends one request to the first VM and returns the status code, or 0 on an error.
func (f *fleet) send(method, path, id string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 2*clientTimeout)
	defer cancel()
	r, err := ffstandin.NewRequest(ctx, method, f.vms[0].config.Callers, path, id, clientTimeout, strings.NewReader(""))
	if err != nil {
		return 0
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode
}

// TestCauseInLogs checks for three kinds of failed requests that the logs of real daemons
// show the cause under the request ID.
func TestCauseInLogs(t *testing.T) {
	binaries := &ffprocess.Binaries{Directory: t.TempDir()}
	program, err := binaries.Path(t.Context(), "fireflyfall")
	if err != nil {
		t.Fatal(err)
	}
	f, err := newFleet(program, t.TempDir(), 2, false)
	if err != nil {
		t.Fatal(err)
	}
	defer f.close()
	if err := f.startAll(t.Context()); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var heartbeats sync.WaitGroup
	heartbeats.Go(func() { f.runHeartbeats(ctx) })
	defer heartbeats.Wait()
	defer cancel()
	t.Run("connection reset by the target", f.lostRequest)
	t.Run("timeout of a slow target", f.lateRequest)
	t.Run("refused early", f.refusedRequest)
}

// awaitFailure waits up to 5 s until the failure of a request is logged and returns its log
// lines.
func (f *fleet) awaitFailure(t *testing.T, id string) map[string]logLine {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); <-time.After(10 * time.Millisecond) {
		if lines := f.requestLines(t, id); lines["request failed"].Request == id {
			return lines
		}
	}
	t.Fatalf("%s: the failure is not in the logs", id)
	return nil
}

func (f *fleet) lostRequest(t *testing.T) {
	f.setBehaviour(func(*http.Request) ffstandin.Behaviour { return ffstandin.Behaviour{Reset: true} })
	if status := f.send(http.MethodPost, "/once/x", "lost-1"); status != http.StatusBadGateway {
		t.Fatalf("status %d", status)
	}
	lines := f.awaitFailure(t, "lost-1")
	ran := f.runs()["lost-1"]
	switch offer := lines["offer failed"]; {
	case len(ran) != 1 || offer.Target != ran[0].Target:
		t.Errorf("the logs name target %s, it ran at %+v", offer.Target, ran)
	case offer.Reason != "broken" || offer.Next != "mayHaveRun" || lines["request failed"].Reason != "lost":
		t.Errorf("lines %+v", lines)
	case lines["no answer of the target"].Request == "":
		t.Errorf("no line of the gate: %+v", lines)
	}
}

func (f *fleet) lateRequest(t *testing.T) {
	f.setBehaviour(func(*http.Request) ffstandin.Behaviour { return ffstandin.Behaviour{Work: 2 * clientTimeout} })
	if status := f.send(http.MethodPost, "/once/x", "late-1"); status != http.StatusGatewayTimeout {
		t.Fatalf("status %d", status)
	}
	failed := f.awaitFailure(t, "late-1")["request failed"]
	if ran := f.runs()["late-1"]; len(ran) == 1 && ran[0].Target != failed.Target {
		t.Errorf("the logs name target %s, it ran at %+v", failed.Target, ran)
	}
	if failed.Reason != "timeout" || failed.Target == "" || failed.Elapsed < 0.9*float64(clientTimeout.Milliseconds()) {
		t.Errorf("line %+v", failed)
	}
}

func (f *fleet) refusedRequest(t *testing.T) {
	const requests = 80
	f.setBehaviour(func(*http.Request) ffstandin.Behaviour { return ffstandin.Behaviour{Work: clientTimeout / 4} })
	var wg sync.WaitGroup
	refused := make(chan string, requests)
	for n := range requests {
		wg.Go(func() {
			id := fmt.Sprint("crowd-", n)
			if f.send(http.MethodGet, "/safe/x", id) == http.StatusServiceUnavailable {
				refused <- id
			}
		})
	}
	wg.Wait()
	close(refused)
	if len(refused) == 0 {
		t.Fatal("no request was refused")
	}
	id := <-refused
	lines := f.awaitFailure(t, id)
	gate := lines["gate refused"]
	if len(f.runs()[id]) > 0 || gate.Reason != lines["request failed"].Reason || gate.Running < gate.Slots || gate.Slots != slots {
		t.Errorf("%s: lines %+v", id, lines)
	}
}
