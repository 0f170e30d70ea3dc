package ffmeshsoak_test

import (
	"net/http"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffmeshsoak"
	"fireflyfall.dev/fireflyfall/platform/ffstandin"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// sound returns a record in which every promise holds.
func sound() *ffmeshsoak.Record {
	rec := &ffmeshsoak.Record{Started: at(0), Faulty: at(0), Ended: at(60_000), Runs: make(map[string][]ffstandin.Run)}
	answered(rec, "late", ffmeshsoak.Attempt{Sent: at(50_000), Ended: at(50_010)})
	return rec
}

// answered adds a request that ran once and got its answer.
func answered(rec *ffmeshsoak.Record, id string, a ffmeshsoak.Attempt) {
	a.ID, a.Status, a.Body, a.Signer = id, http.StatusOK, id, "t"
	rec.Attempts = append(rec.Attempts, a)
	ran(rec, id, a.Sent, "t")
}

func ran(rec *ffmeshsoak.Record, id string, when time.Time, target string) {
	rec.Runs[id] = append(rec.Runs[id], ffstandin.Run{ID: id, At: when, Target: target})
}

func happened(rec *ffmeshsoak.Record, f ffmeshsoak.Fault, from, to int, h ffmeshsoak.Happening) {
	h.Event.Fault, h.Began, h.Ended = f, at(from), at(to)
	rec.Happenings = append(rec.Happenings, h)
}

// TestJudge finds each promise broken, and just that.
func TestJudge(t *testing.T) {
	type record = ffmeshsoak.Record
	type attempt = ffmeshsoak.Attempt
	for promise, spoil := range map[ffmeshsoak.Promise]func(rec *record){
		ffmeshsoak.PromiseOnce: func(rec *record) {
			answered(rec, "a", attempt{Once: true, Sent: at(1), Ended: at(9)})
			ran(rec, "a", at(5), "u")
		},
		ffmeshsoak.PromiseNotRun: func(rec *record) {
			rec.Attempts = append(rec.Attempts, attempt{ID: "a", Once: true, Status: http.StatusServiceUnavailable, Sent: at(1), Ended: at(9)})
			ran(rec, "a", at(5), "t")
		},
		ffmeshsoak.PromiseWhole: func(rec *record) {
			answered(rec, "a", attempt{Sent: at(1), Ended: at(9)})
			rec.Attempts[len(rec.Attempts)-1].Body = "other"
		},
		ffmeshsoak.PromiseRouted: func(rec *record) {
			rec.Attempts = append(rec.Attempts, attempt{ID: "a", Status: http.StatusNotFound, Sent: at(1), Ended: at(9)})
		},
		ffmeshsoak.PromiseNoOlder: func(rec *record) {
			answered(rec, "a", attempt{Version: 2, Sent: at(1), Ended: at(9)})
			rec.Attempts = append(rec.Attempts, attempt{ID: "b", Version: 2, Status: http.StatusNotFound, Sent: at(11), Ended: at(19)})
		},
		ffmeshsoak.PromiseInForce: func(rec *record) {
			happened(rec, ffmeshsoak.FaultVersion, 10, 11, ffmeshsoak.Happening{Version: 2})
			rec.Attempts = append(rec.Attempts, attempt{ID: "a", Version: 2, Status: http.StatusNotFound, Sent: at(2100), Ended: at(2109)})
		},
		ffmeshsoak.PromiseLeaving: func(rec *record) {
			happened(rec, ffmeshsoak.FaultLeave, 10, 2600, ffmeshsoak.Happening{Target: "u"})
			ran(rec, "a", at(2100), "u")
		},
		ffmeshsoak.PromiseStop: func(rec *record) {
			happened(rec, ffmeshsoak.FaultStop, 10, 3000, ffmeshsoak.Happening{})
			rec.Attempts = append(rec.Attempts, attempt{ID: "a", Sent: at(20), Ended: at(40)})
			ran(rec, "a", at(25), "t")
		},
		ffmeshsoak.PromiseRecovers: func(rec *record) {
			rec.Attempts[0].Status = http.StatusServiceUnavailable
		},
	} {
		rec := sound()
		if all := ffmeshsoak.Judge(rec); len(all) > 0 {
			t.Fatalf("a sound record is blamed: %v", all)
		}
		spoil(rec)
		if all := ffmeshsoak.Judge(rec); len(all) != 1 || all[0].Promise != promise {
			t.Errorf("%v: found %v", promise, all)
		}
	}
}

// TestLateEnd finds a daemon that did not end after a planned stop, also beside
// other faults.
func TestLateEnd(t *testing.T) {
	rec := sound()
	happened(rec, ffmeshsoak.FaultStoreCut, 5, 3000, ffmeshsoak.Happening{})
	happened(rec, ffmeshsoak.FaultStop, 10, 7010, ffmeshsoak.Happening{Failed: "deadline"})
	if all := ffmeshsoak.Judge(rec); len(all) != 1 || all[0].Promise != ffmeshsoak.PromiseStop {
		t.Errorf("found %v", all)
	}
}

// TestDraw draws the same events for a seed again, and leaves time to recover.
func TestDraw(t *testing.T) {
	const length, vms = 60 * time.Second, 5
	seen := make(map[ffmeshsoak.Fault]bool)
	for seed := range uint64(5) {
		a, b := ffmeshsoak.Draw(seed, length, vms), ffmeshsoak.Draw(seed, length, vms)
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
