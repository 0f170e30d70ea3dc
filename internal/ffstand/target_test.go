package ffstand_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffstand"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// call sends one call to a target, with headers in pairs of name and value.
func call(ctx context.Context, target *ffstand.Target, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/photos/1", strings.NewReader(body))
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	target.Handler().ServeHTTP(w, r)
	return w
}

func TestTargetShedsAboveBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := ffstand.NewTarget(ffstand.TargetSettings{Slots: 2, Backlog: 3, ServiceTime: time.Second})
		statuses := make(chan int, 10)
		var calls sync.WaitGroup
		for range cap(statuses) {
			calls.Go(func() { statuses <- call(t.Context(), target, "x").Code })
		}
		calls.Wait()
		close(statuses)
		count := make(map[int]int)
		for status := range statuses {
			count[status]++
		}
		if count[http.StatusOK] != 5 || count[http.StatusServiceUnavailable] != 5 {
			t.Fatalf("statuses %v", count)
		}
		executions := target.Executions()
		if len(executions) != 5 {
			t.Fatalf("%d executions", len(executions))
		}
		for _, e := range executions {
			if running := overlapping(executions, e.Started); running > 2 {
				t.Fatalf("%d executions ran concurrently", running)
			}
		}
	})
}

func overlapping(executions []ffstand.Execution, at time.Time) int {
	n := 0
	for _, e := range executions {
		if !e.Started.After(at) && e.Ended.After(at) {
			n++
		}
	}
	return n
}

func TestTargetServiceTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := ffstand.NewTarget(ffstand.TargetSettings{
			ServiceTime:       time.Second,
			ServiceTimeByPath: map[string]time.Duration{"/": 2 * time.Second, "/photos": 3 * time.Second},
			ColdUntil:         time.Now().Add(time.Second),
			ColdExtraTime:     10 * time.Second,
		})
		expect := func(want time.Duration, headers ...string) {
			t.Helper()
			start := time.Now()
			call(t.Context(), target, "x", headers...)
			if took := time.Since(start); took != want {
				t.Fatalf("call took %v, want %v", took, want)
			}
		}
		expect(13 * time.Second)
		expect(3 * time.Second)
		expect(7*time.Millisecond, "Stand-Work-Millis", "7")
		if err := target.SetState(ffstand.TargetState{SlowFactor: 10}); err != nil {
			t.Fatal(err)
		}
		expect(30 * time.Second)
	})
}

func TestTargetHonoursDeadlineAndCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := ffstand.NewTarget(ffstand.TargetSettings{Slots: 1, Backlog: 1, ServiceTime: time.Second})
		w := call(t.Context(), target, "x", "Fireflyfall-Remaining-Millis", "400")
		if w.Code != http.StatusGatewayTimeout {
			t.Fatalf("status %d after the deadline", w.Code)
		}
		if w := call(t.Context(), target, "x", "Fireflyfall-Remaining-Millis", "0"); w.Header().Get("Fireflyfall-Outcome") != "notRun" {
			t.Fatalf("status %d for a call whose deadline has passed", w.Code)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		call(ctx, target, "x")
		executions := target.Executions()
		if len(executions) != 2 || !executions[0].Cancelled || !executions[1].Cancelled {
			t.Fatalf("executions %+v", executions)
		}
	})
}

func TestDrainingTargetShedsCalls(t *testing.T) {
	target := ffstand.NewTarget(ffstand.TargetSettings{})
	if err := target.SetState(ffstand.TargetState{Draining: true}); err != nil {
		t.Fatal(err)
	}
	w := call(t.Context(), target, "x")
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Fireflyfall-Outcome") != "notRun" {
		t.Fatalf("status %d", w.Code)
	}
	if n := len(target.Executions()); n != 0 {
		t.Fatalf("%d executions", n)
	}
}

func TestAnswersDifferAndAreRecorded(t *testing.T) {
	var log bytes.Buffer
	target := ffstand.NewTarget(ffstand.TargetSettings{Name: "palermo-1", Log: &log})
	seen := make(map[string]bool)
	for range 2 {
		w := call(t.Context(), target, "deposit", "Fireflyfall-Call-Id", "c1", "Stand-Answer-Bytes", "1000")
		var answer ffstand.Answer
		if err := json.Unmarshal(w.Body.Bytes(), &answer); err != nil {
			t.Fatal(err)
		}
		if answer.CallID != "c1" || answer.BodyDigest != ffconfig.DigestOf([]byte("deposit")) || len(answer.Padding) != 1000 || !answer.Intact() {
			t.Fatalf("answer %+v", answer)
		}
		if seen[w.Body.String()] {
			t.Fatal("two executions returned the same answer")
		}
		seen[w.Body.String()] = true
		last := target.Executions()[answer.Execution-1]
		if last.AnswerDigest != ffconfig.DigestOf(w.Body.Bytes()) || last.Ended.IsZero() {
			t.Fatalf("execution %+v", last)
		}
	}
	if lines := strings.Count(log.String(), "\n"); lines != 4 {
		t.Fatalf("%d lines for two starts and two ends", lines)
	}
}

func TestTargetTruncatesAnswer(t *testing.T) {
	target := ffstand.NewTarget(ffstand.TargetSettings{})
	server := httptest.NewServer(target.Handler())
	defer server.Close()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Stand-Crash", "connection")
	resp, err := server.Client().Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var part bytes.Buffer
	if _, err := part.ReadFrom(resp.Body); err == nil || part.Len() == 0 {
		t.Fatalf("%d bytes of a truncated answer, error %v", part.Len(), err)
	}
	if e := target.Executions(); len(e) != 1 || !e[0].Crashed {
		t.Fatalf("executions %+v", e)
	}
}
