package ffinbound_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
	"fireflyfall.dev/fireflyfall/internal/ffinbound"
	"fireflyfall.dev/fireflyfall/internal/ffmesh"
)

const (
	slowLink = 1_000_000
	// bodyTime is how long a body of bodyBytes takes on a slow link.
	bodyBytes = 100_000
	bodyTime  = 100 * time.Millisecond
)

func newIntakeGate(rate int64) *ffinbound.Gate {
	return &ffinbound.Gate{
		Target: local{fffleet.Target{ID: "t", Service: "s", Slots: 4}},
		Intake: &ffinbound.Intake{Rate: rate},
	}
}

func newUpload(id string, objective, deadline time.Duration) *ffmesh.Call {
	c := newCall(id, 0, objective, deadline)
	c.Length = bodyBytes
	return c
}

// TestIntakeOneAtATime lets one body at a time over a slow link, in the order of
// the objectives, and tells those that wait that the gate is alive.
func TestIntakeOneAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newIntakeGate(slowLink)
		var mu sync.Mutex
		var order []string
		receiving, alive := 0, 0
		var wg sync.WaitGroup
		receive := func(c *ffmesh.Call) {
			done, refusal := g.Receive(t.Context(), c, func() { mu.Lock(); alive++; mu.Unlock() })
			if refusal != nil {
				t.Errorf("%s was refused: %v", c.ID, refusal.Reason)
				return
			}
			mu.Lock()
			order = append(order, c.ID)
			if receiving++; receiving > 1 {
				t.Error("two bodies at once")
			}
			mu.Unlock()
			time.Sleep(bodyTime)
			mu.Lock()
			receiving--
			mu.Unlock()
			done()
		}
		for i, objective := range []time.Duration{time.Second, 900 * time.Millisecond, 800 * time.Millisecond} {
			wg.Go(func() { receive(newUpload(string(rune('a'+i)), objective, 2*time.Second)) })
			synctest.Wait()
		}
		if got := g.Load().Intake; got != 3*bodyTime {
			t.Errorf("intake takes %v, want %v", got, 3*bodyTime)
		}
		wg.Wait()
		if len(order) != 3 || order[0] != "a" || order[1] != "c" || order[2] != "b" {
			t.Errorf("order %v, want a c b", order)
		}
		if alive < 4 {
			t.Errorf("%d words to those that waited", alive)
		}
		if got := g.Load().Intake; got != 0 {
			t.Errorf("intake takes %v after the last body", got)
		}
	})
}

// TestIntakeShortCall never keeps a short call waiting, nor a body over a fast link.
func TestIntakeShortCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, rate := range []int64{slowLink, 100 * slowLink} {
			g := newIntakeGate(rate)
			if _, refusal := g.Receive(t.Context(), newUpload("first", time.Second, time.Second), func() {}); refusal != nil {
				t.Fatal(refusal.Reason)
			}
			c := newUpload("next", time.Second, time.Second)
			if rate == slowLink {
				c.Length = 1000
			}
			began := time.Now()
			if _, refusal := g.Receive(t.Context(), c, func() {}); refusal != nil || time.Since(began) > 0 {
				t.Errorf("at %d bytes a second: refused %v or waited %v", rate, refusal, time.Since(began))
			}
		}
	})
}

// TestIntakeGivenUp refuses a body that would come too late, and gives its place
// back, as that of one whose entry went away.
func TestIntakeGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newIntakeGate(slowLink)
		done, _ := g.Receive(t.Context(), newUpload("first", time.Second, time.Second), func() {})
		if _, refusal := g.Receive(t.Context(), newUpload("late", time.Second, 3*bodyTime), func() {}); refusal == nil || refusal.Outcome != ffmesh.OutcomeNotRun {
			t.Error("a body was let in that comes too late")
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if _, refusal := g.Receive(ctx, newUpload("left", time.Second, time.Second), func() {}); refusal == nil {
			t.Error("a body was let in whose entry went away")
		}
		done()
		began := time.Now()
		if _, refusal := g.Receive(t.Context(), newUpload("last", time.Second, time.Second), func() {}); refusal != nil || time.Since(began) > 0 {
			t.Error("a place was not given back")
		}
	})
}
