package ffmeshsoak_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffmeshsoak"
	"fireflyfall.dev/fireflyfall/platform/ffstandin"
)

var start = time.Unix(1000, 0)

// after returns the time ms milliseconds after start.
func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// validRecord returns a record in which every promise is kept.
func validRecord() *ffmeshsoak.Record {
	rec := &ffmeshsoak.Record{Started: after(0), Faulty: after(0), Ended: after(60_000), Runs: make(map[string][]ffstandin.Run)}
	addAnswered(rec, "late", ffmeshsoak.Attempt{Sent: after(50_000), Ended: after(50_010)})
	return rec
}

// addAnswered adds a request that was executed once and got its response.
func addAnswered(rec *ffmeshsoak.Record, id string, a ffmeshsoak.Attempt) {
	a.ID, a.Status, a.Body, a.Signer = id, http.StatusOK, id, "t"
	rec.Attempts = append(rec.Attempts, a)
	addRun(rec, id, a.Sent, "t")
}

func addRun(rec *ffmeshsoak.Record, id string, when time.Time, target string) {
	rec.Runs[id] = append(rec.Runs[id], ffstandin.Run{ID: id, At: when, Target: target})
}

func addHappening(rec *ffmeshsoak.Record, f ffmeshsoak.Fault, from, to int, h ffmeshsoak.ExecutedEvent) {
	h.Event.Fault, h.Began, h.Ended = f, after(from), after(to)
	rec.Happenings = append(rec.Happenings, h)
}

// TestJudge checks that Judge reports each violated promise and no other.
func TestJudge(t *testing.T) {
	type record = ffmeshsoak.Record
	type attempt = ffmeshsoak.Attempt
	for promise, violate := range map[ffmeshsoak.Promise]func(rec *record){
		ffmeshsoak.PromiseOnce: func(rec *record) {
			addAnswered(rec, "a", attempt{Once: true, Sent: after(1), Ended: after(9)})
			addRun(rec, "a", after(5), "u")
		},
		ffmeshsoak.PromiseUnchanged: func(rec *record) {
			addAnswered(rec, "a", attempt{Once: true, Sum: 1, Sent: after(1), Ended: after(9)})
		},
		ffmeshsoak.PromiseNotRun: func(rec *record) {
			rec.Attempts = append(rec.Attempts, attempt{ID: "a", Once: true, Status: http.StatusServiceUnavailable, Sent: after(1), Ended: after(9)})
			addRun(rec, "a", after(5), "t")
		},
		ffmeshsoak.PromiseComplete: func(rec *record) {
			addAnswered(rec, "a", attempt{Sent: after(1), Ended: after(9)})
			rec.Attempts[len(rec.Attempts)-1].Body = "other"
		},
		ffmeshsoak.PromiseRouted: func(rec *record) {
			rec.Attempts = append(rec.Attempts, attempt{ID: "a", Status: http.StatusNotFound, Sent: after(1), Ended: after(9)})
		},
		ffmeshsoak.PromiseNoOlder: func(rec *record) {
			addAnswered(rec, "a", attempt{Version: 2, Sent: after(1), Ended: after(9)})
			rec.Attempts = append(rec.Attempts, attempt{ID: "b", Version: 2, Status: http.StatusNotFound, Sent: after(11), Ended: after(19)})
		},
		ffmeshsoak.PromiseActive: func(rec *record) {
			addHappening(rec, ffmeshsoak.FaultVersion, 10, 11, ffmeshsoak.ExecutedEvent{Version: 2})
			rec.Attempts = append(rec.Attempts, attempt{ID: "a", Version: 2, Status: http.StatusNotFound, Sent: after(2100), Ended: after(2109)})
		},
		ffmeshsoak.PromiseLeaving: func(rec *record) {
			addHappening(rec, ffmeshsoak.FaultLeave, 10, 2600, ffmeshsoak.ExecutedEvent{Target: "u"})
			addRun(rec, "a", after(2100), "u")
		},
		ffmeshsoak.PromiseStop: func(rec *record) {
			addHappening(rec, ffmeshsoak.FaultStop, 10, 3000, ffmeshsoak.ExecutedEvent{})
			rec.Attempts = append(rec.Attempts, attempt{ID: "a", Sent: after(20), Ended: after(40)})
			addRun(rec, "a", after(25), "t")
		},
		ffmeshsoak.PromiseLimit: func(rec *record) {
			addHappening(rec, ffmeshsoak.FaultTargetLimit, 0, 9000, ffmeshsoak.ExecutedEvent{Target: "t"})
			addAnswered(rec, "named", attempt{Limited: true, Sent: after(1), Ended: after(9)})
			for i := range 36 {
				addAnswered(rec, fmt.Sprint("a", i), attempt{Sent: after(4000 + 100*i), Ended: after(4050 + 100*i)})
			}
		},
		ffmeshsoak.PromiseRecovers: func(rec *record) {
			rec.Attempts[0].Status = http.StatusServiceUnavailable
		},
	} {
		rec := validRecord()
		if all := ffmeshsoak.Check(rec); len(all) > 0 {
			t.Fatalf("a valid record has violations: %v", all)
		}
		violate(rec)
		if all := ffmeshsoak.Check(rec); len(all) != 1 || all[0].Promise != promise {
			t.Errorf("%v: found %v", promise, all)
		}
	}
}

// TestJudgeSaidLeaving checks that a request counts only if its VM passed on the answer in
// which the target said that it leaves, and was not restarted since.
func TestJudgeSaidLeaving(t *testing.T) {
	for name, tc := range map[string]struct{ vm, restartAt, want int }{
		"same VM":    {0, 0, 1},
		"other VM":   {1, 0, 0},
		"restarted":  {0, 1000, 0},
		"sent early": {0, 0, 0},
	} {
		rec := validRecord()
		addHappening(rec, ffmeshsoak.FaultTargetSaysLeaving, 0, 9000, ffmeshsoak.ExecutedEvent{Target: "t"})
		addAnswered(rec, "said", ffmeshsoak.Attempt{Leaving: true, Sent: after(1), Ended: after(9)})
		sent := 2500
		if name == "sent early" {
			sent = 1500
		}
		addAnswered(rec, "a", ffmeshsoak.Attempt{VM: tc.vm, Sent: after(sent), Ended: after(sent + 9)})
		rec.Attempts[0].VM = 1
		if tc.restartAt > 0 {
			addHappening(rec, ffmeshsoak.FaultStop, tc.restartAt, tc.restartAt+500, ffmeshsoak.ExecutedEvent{})
		}
		if all := ffmeshsoak.Check(rec); len(all) != tc.want {
			t.Errorf("%s: found %v", name, all)
		}
	}
}

// TestStopTimeout checks that a planned stop that times out is reported, also if it
// overlaps other faults.
func TestStopTimeout(t *testing.T) {
	rec := validRecord()
	addHappening(rec, ffmeshsoak.FaultStoreCut, 5, 3000, ffmeshsoak.ExecutedEvent{})
	addHappening(rec, ffmeshsoak.FaultStop, 10, 7010, ffmeshsoak.ExecutedEvent{Failed: "deadline"})
	if all := ffmeshsoak.Check(rec); len(all) != 1 || all[0].Promise != ffmeshsoak.PromiseStop {
		t.Errorf("found %v", all)
	}
}

// TestDraw checks that Draw returns the same sorted events for the same seed and that
// every kind of fault occurs.
func TestDraw(t *testing.T) {
	const length, vms = 60 * time.Second, 5
	seen := make(map[ffmeshsoak.Fault]bool)
	for seed := range uint64(5) {
		a, b := ffmeshsoak.GenerateEvents(seed, length, vms), ffmeshsoak.GenerateEvents(seed, length, vms)
		if len(a) != len(b) || len(a) == 0 {
			t.Fatalf("seed %d drew %d and %d events", seed, len(a), len(b))
		}
		for i, e := range a {
			if e != b[i] || e.VM >= vms || i > 0 && e.At < a[i-1].At {
				t.Errorf("seed %d: event %+v and %+v", seed, e, b[i])
			}
			seen[e.Fault] = true
		}
	}
	if len(seen) != int(ffmeshsoak.FaultVersion)+1 {
		t.Errorf("only the faults %v were drawn", seen)
	}
}
