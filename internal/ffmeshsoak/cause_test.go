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

// logLine is a line of a daemon's log, as far as it tells of a request.
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

// linesOf returns what all daemons logged of a request, by message.
func (f *fleet) linesOf(t *testing.T, id string) map[string]logLine {
	t.Helper()
	lines := make(map[string]logLine)
	for _, v := range f.vms {
		for _, text := range v.process.Lines() {
			var l logLine
			if err := json.Unmarshal([]byte(text), &l); err != nil {
				t.Errorf("%s logged a line that is no JSON: %s", v.place.Name, text)
			} else if l.Request == id {
				lines[l.Message] = l
			}
		}
	}
	return lines
}

// ask sends one request to the first VM and returns its status.
func (f *fleet) ask(method, path, id string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 2*clientWait)
	defer cancel()
	r, err := ffstandin.NewRequest(ctx, method, f.vms[0].place.Callers, path, id, clientWait, strings.NewReader(""))
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

// TestCauseInLogs takes a failed request of each of three kinds and finds its cause
// by its ID in the logs of real daemons alone.
func TestCauseInLogs(t *testing.T) {
	binaries := &ffprocess.Binaries{Directory: t.TempDir()}
	program, err := binaries.Path(t.Context(), "fireflyfall")
	if err != nil {
		t.Fatal(err)
	}
	f, err := newFleet(program, t.TempDir(), 2)
	if err != nil {
		t.Fatal(err)
	}
	defer f.close()
	if err := f.startAll(t.Context()); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var beats sync.WaitGroup
	beats.Go(func() { f.runBeats(ctx) })
	defer beats.Wait()
	defer cancel()
	t.Run("lost with its target", f.lostRequest)
	t.Run("late by a slow target", f.lateRequest)
	t.Run("refused early", f.refusedRequest)
}

// await returns the lines of a request once its failure is among them.
func (f *fleet) await(t *testing.T, id string) map[string]logLine {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); <-time.After(10 * time.Millisecond) {
		if lines := f.linesOf(t, id); lines["request failed"].Request == id {
			return lines
		}
	}
	t.Fatalf("%s: its failure is not in the logs", id)
	return nil
}

func (f *fleet) lostRequest(t *testing.T) {
	f.setBehaviour(func(*http.Request) ffstandin.Behaviour { return ffstandin.Behaviour{Reset: true} })
	if status := f.ask(http.MethodPost, "/once/x", "lost-1"); status != http.StatusBadGateway {
		t.Fatalf("status %d", status)
	}
	lines := f.await(t, "lost-1")
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
	f.setBehaviour(func(*http.Request) ffstandin.Behaviour { return ffstandin.Behaviour{Work: 2 * clientWait} })
	if status := f.ask(http.MethodPost, "/once/x", "late-1"); status != http.StatusGatewayTimeout {
		t.Fatalf("status %d", status)
	}
	failed := f.await(t, "late-1")["request failed"]
	if ran := f.runs()["late-1"]; len(ran) == 1 && ran[0].Target != failed.Target {
		t.Errorf("the logs name target %s, it ran at %+v", failed.Target, ran)
	}
	if failed.Reason != "timeout" || failed.Target == "" || failed.Elapsed < 0.9*float64(clientWait.Milliseconds()) {
		t.Errorf("line %+v", failed)
	}
}

func (f *fleet) refusedRequest(t *testing.T) {
	const crowd = 80
	f.setBehaviour(func(*http.Request) ffstandin.Behaviour { return ffstandin.Behaviour{Work: clientWait / 4} })
	var wg sync.WaitGroup
	refused := make(chan string, crowd)
	for n := range crowd {
		wg.Go(func() {
			id := fmt.Sprint("crowd-", n)
			if f.ask(http.MethodGet, "/safe/x", id) == http.StatusServiceUnavailable {
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
	lines := f.await(t, id)
	gate := lines["gate refused"]
	if len(f.runs()[id]) > 0 || gate.Reason != lines["request failed"].Reason || gate.Running < gate.Slots || gate.Slots != slots {
		t.Errorf("%s: lines %+v", id, lines)
	}
}
