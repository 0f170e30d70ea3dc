package ffinbound

import (
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
	"fireflyfall.dev/fireflyfall/internal/ffmesh"
	"fireflyfall.dev/fireflyfall/internal/ffpace"
)

// crest is a load above what one target can serve, replayed in steps of a millisecond.
type crest struct {
	Name         string
	Slots, ForMs int
	// ColdPerSecond is the number of calls per second that the target takes, which is cold
	// all the time; 0 if it is warm.
	ColdPerSecond float64
	Classes       []crestClass
}

// crestClass is a class of calls of a crest, and the least share of them that is served in
// time, and at all.
type crestClass struct {
	Priority, PerSecond, WorkMs, ObjectiveMs, DeadlineMs int
	InTime, Served                                       float64
}

// crestCall is a call of a crest.
type crestCall struct {
	*waiter
	call  *ffmesh.Call
	class int
	// startMs and endMs are when it runs at the target.
	startMs, endMs int
}

// crestCounts counts the calls of one class.
type crestCounts struct{ asked, inTime, served float64 }

// crestTarget is a target that accepts calls.
type crestTarget struct {
	slots     int
	tolerance ffpace.Tolerance
}

func (c crestTarget) LocalTarget() (fffleet.Target, bool) {
	return fffleet.Target{ID: "t", Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:1"), Slots: c.slots}, true
}
func (crestTarget) MarkLeaving(fffleet.Target)  {}
func (crestTarget) MarkReplaced(fffleet.Target) {}
func (crestTarget) Evacuated() bool             { return false }
func (c crestTarget) Tolerance() ffpace.Tolerance {
	return c.tolerance
}
func (crestTarget) HealthPath() string { return "" }

// play returns the counts of each class.
func (l crest) play() []crestCounts {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	random := rand.New(rand.NewPCG(1, 2))
	g := &Gate{Target: crestTarget{l.Slots, l.tolerance()}, slots: l.Slots}
	g.target, _ = g.Target.LocalTarget()
	g.warmup = g.warmup.WithTolerance(l.tolerance()).WithDoubt(start)
	// The replay dispatches by its own clock; this timer runs nothing.
	g.wake = time.NewTimer(0)
	counts := make([]crestCounts, len(l.Classes))
	var waiting, running []*crestCall
	for ms := range l.ForMs {
		now := at(ms)
		running = slices.DeleteFunc(running, func(c *crestCall) bool {
			if c.endMs > ms {
				return false
			}
			g.finishReplayed(c, now, at(c.startMs))
			counts[c.class].record(c, now)
			return true
		})
		for i, class := range l.Classes {
			if random.Float64() >= float64(class.PerSecond)/1000 {
				continue
			}
			counts[i].asked++
			if c := g.offerReplayed(class.call(i, now), now); c != nil {
				c.class = i
				waiting = append(waiting, c)
			}
		}
		g.dispatch(now)
		waiting = slices.DeleteFunc(waiting, func(c *crestCall) bool {
			select {
			case ok := <-c.granted:
				if ok {
					g.runs.add(c.call)
					c.startMs = ms
					c.endMs = ms + int(float64(l.Classes[c.class].WorkMs)*(0.5+random.ExpFloat64()/2))
					running = append(running, c)
				}
				return true
			default:
				late := !now.Before(c.objective.Add(-c.expected/2)) && g.removeWaiting(c.waiter, true)
				return late || !now.Before(c.deadline.Add(-c.expected/2)) && g.removeWaiting(c.waiter, false)
			}
		})
	}
	return counts
}

// tolerance is that of a target which stays cold during the replay.
func (l crest) tolerance() ffpace.Tolerance {
	return ffpace.Tolerance{PerSecond: l.ColdPerSecond, ColdTime: time.Duration(l.ForMs) * time.Millisecond}
}

// call returns a call of the class with index i.
func (c crestClass) call(i int, now time.Time) *ffmesh.Call {
	return &ffmesh.Call{
		Class: uint16(i), Priority: c.Priority, Received: now,
		Objective: now.Add(time.Duration(c.ObjectiveMs) * time.Millisecond),
		Deadline:  now.Add(time.Duration(c.DeadlineMs) * time.Millisecond),
	}
}

// offerReplayed queues a call; it returns nil if the gate refuses it.
func (g *Gate) offerReplayed(c *ffmesh.Call, now time.Time) *crestCall {
	w, refusal := g.admit(c, now)
	if refusal != nil {
		return nil
	}
	return &crestCall{waiter: w, call: c}
}

// finishReplayed ends a call that was sent at started.
func (g *Gate) finishReplayed(c *crestCall, now, started time.Time) {
	g.running--
	g.runs.remove(c.call)
	g.stats.recordTime(now, c.call.Class, now.Sub(started))
}

// record counts a call that was answered at now.
func (n *crestCounts) record(c *crestCall, now time.Time) {
	if now.After(c.deadline) {
		return
	}
	n.served++
	if !now.After(c.objective) {
		n.inTime++
	}
}

// TestCrests checks how much of each class is served, and served in time, when a target gets
// more than it can take.
func TestCrests(t *testing.T) { playCrests(t, "testdata/crests.json") }

// TestOpenCrests does the same with the crests that show an unresolved fault.
func TestOpenCrests(t *testing.T) { playCrests(t, "testdata/opencrests.json") }

func playCrests(t *testing.T, path string) {
	t.Helper()
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var crests []crest
	if err := json.Unmarshal(b, &crests); err != nil {
		t.Fatal(err)
	}
	for _, l := range crests {
		t.Run(l.Name, func(t *testing.T) {
			for i, n := range l.play() {
				class := l.Classes[i]
				inTime, served := n.inTime/n.asked, n.served/n.asked
				t.Logf("class %d: %.2f in time, %.2f served", i, inTime, served)
				if inTime < class.InTime || served < class.Served {
					t.Errorf("class %d: %.2f in time, %.2f served; want %.2f and %.2f", i, inTime, served, class.InTime, class.Served)
				}
			}
		})
	}
}
