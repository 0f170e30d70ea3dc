package ffpace_test

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffpace"
)

// warmupLoad is a load on a target that turns cold, replayed in steps of a millisecond.
type warmupLoad struct {
	Name           string
	CallsPerSecond float64
	ForMs          int
	// The target turns cold at each of ColdAtMs, and the gate notices NoticedAfterMs later.
	ColdAtMs       []int
	NoticedAfterMs int
	// The gate restarts at each of RestartAtMs.
	RestartAtMs []int
	// The target answers a question ReportAfterMs after it is asked; never if 0.
	ReportAfterMs int
	// LeastShare is the least share of what a cold target takes that it gets.
	LeastShare float64
}

// tolerance is that of the targets in the replays.
var tolerance = ffpace.Tolerance{PerSecond: 8.8, Ratio: 1.5, Slack: 8, ColdTime: 3 * time.Second}

// play returns the times, in milliseconds, at which calls are sent.
func (l warmupLoad) play() (sent []int) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	w := ffpace.Warmup{}.WithTolerance(tolerance)
	arrived, askedMs := 0.0, -1
	for ms := range l.ForMs {
		for _, cold := range l.ColdAtMs {
			if ms == cold+l.NoticedAfterMs {
				w, askedMs = w.WithDoubt(at(ms)), ms
			}
		}
		for _, restart := range l.RestartAtMs {
			if ms == restart {
				w, askedMs = ffpace.Warmup{}.WithTolerance(tolerance).WithDoubt(at(ms)), ms
			}
		}
		if askedMs >= 0 && l.ReportAfterMs > 0 && ms == askedMs+l.ReportAfterMs {
			w = w.WithReport(at(askedMs), at(l.warmAt(ms)), at(ms))
		}
		for arrived += l.CallsPerSecond / 1000; arrived >= 1 && !w.NextAt(0, at(ms)).After(at(ms)); arrived-- {
			w = w.WithCall(at(ms))
			sent = append(sent, ms)
		}
		arrived = min(arrived, 5)
	}
	return sent
}

// warmAt returns when the target is warm, as of a time, in milliseconds.
func (l warmupLoad) warmAt(ms int) int {
	warm := 0
	for _, cold := range l.ColdAtMs {
		if cold <= ms {
			warm = cold + int(tolerance.ColdTime.Milliseconds())
		}
	}
	return warm
}

// TestWarmups checks that a cold target gets no more calls in any second than the users'
// bound, that what it takes is used, and that a warm one is not paced for long.
func TestWarmups(t *testing.T) {
	b, err := os.ReadFile("testdata/warmups.json")
	if err != nil {
		t.Fatal(err)
	}
	var loads []warmupLoad
	if err := json.Unmarshal(b, &loads); err != nil {
		t.Fatal(err)
	}
	for _, l := range loads {
		t.Run(l.Name, func(t *testing.T) { l.check(t) })
	}
}

func (l warmupLoad) check(t *testing.T) {
	sent := l.play()
	bound := int(tolerance.PerSecond*tolerance.Ratio + tolerance.Slack)
	whileCold, coldMs := 0, 0
	for ms := range l.ForMs {
		if ms < l.warmAt(ms) {
			coldMs++
		}
	}
	for i, first := range sent {
		n := 0
		for _, ms := range sent[i:] {
			if ms < first+1000 && ms < l.warmAt(first) {
				n++
			}
		}
		if first < l.warmAt(first) {
			whileCold++
		}
		if n > bound {
			t.Fatalf("%d calls to a cold target in the second from %d ms on, %d allowed", n, first, bound)
		}
	}
	takes := tolerance.PerSecond * tolerance.Ratio * float64(coldMs) / 1000
	if share := float64(whileCold) / takes; coldMs > 0 && share < l.LeastShare {
		t.Errorf("a cold target got %.2f of what it takes, want %.2f", share, l.LeastShare)
	}
	if share := float64(len(sent)) / (l.CallsPerSecond * float64(l.ForMs) / 1000); coldMs == 0 && share < l.LeastShare {
		t.Errorf("a warm target got %.2f of its calls, want %.2f", share, l.LeastShare)
	}
	t.Logf("%d calls, %d of them while cold", len(sent), whileCold)
}

// TestOldReport guards against an answer of the former process of a target, which would
// make its cold successor count as warm.
func TestOldReport(t *testing.T) {
	now := time.Unix(1000, 0)
	w := ffpace.Warmup{}.WithTolerance(tolerance).WithDoubt(now)
	if w = w.WithReport(now.Add(-time.Millisecond), now, now.Add(time.Millisecond)); !w.Cold(now.Add(time.Second)) {
		t.Error("the target counts as warm")
	}
}

// TestNoTolerance checks that a target that takes any load while cold is never paced.
func TestNoTolerance(t *testing.T) {
	now := time.Unix(1000, 0)
	w := ffpace.Warmup{}.WithTolerance(ffpace.Tolerance{ColdTime: time.Second}).WithDoubt(now)
	if w.Cold(now) || w.NextAt(100, now) != now {
		t.Error("paced")
	}
}
