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
	slowLinkRate = 1_000_000
	// A body of bodyBytes takes bodyTime on a link of slowLinkRate bytes per second.
	bodyBytes = 100_000
	bodyTime  = 100 * time.Millisecond
)

func newIntakeGate(rate int64) *ffinbound.Gate {
	return &ffinbound.Gate{
		Target: staticTarget{fffleet.Target{ID: "t", Service: "s", Slots: 4}},
		Intake: &ffinbound.Intake{Rate: rate},
	}
}

func newUpload(id string, objective, deadline time.Duration) *ffmesh.Call {
	c := newCall(id, 0, objective, deadline)
	c.Length = bodyBytes
	return c
}

// TestIntakeOneAtATime checks that a slow link receives one body at a time, in the
// order of the objectives, and that waiting entries get keep-alives.
func TestIntakeOneAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newIntakeGate(slowLinkRate)
		var mu sync.Mutex
		var order []string
		receiving, keepAlives := 0, 0
		var wg sync.WaitGroup
		receive := func(c *ffmesh.Call) {
			done, refusal := g.AdmitBody(t.Context(), c, func() { mu.Lock(); keepAlives++; mu.Unlock() })
			if refusal != nil {
				t.Errorf("%s was refused: %v", c.ID, refusal.Reason)
				return
			}
			mu.Lock()
			order = append(order, c.ID)
			if receiving++; receiving > 1 {
				t.Error("two bodies received concurrently")
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
			t.Errorf("backlog %v, want %v", got, 3*bodyTime)
		}
		wg.Wait()
		if len(order) != 3 || order[0] != "a" || order[1] != "c" || order[2] != "b" {
			t.Errorf("order %v, want a c b", order)
		}
		if keepAlives < 4 {
			t.Errorf("%d keep-alives to waiting entries", keepAlives)
		}
		if got := g.Load().Intake; got != 0 {
			t.Errorf("backlog %v after the last body", got)
		}
	})
}

// TestIntakeShortCall checks that a short call never waits, nor a body on a fast link.
func TestIntakeShortCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, rate := range []int64{slowLinkRate, 100 * slowLinkRate} {
			g := newIntakeGate(rate)
			if _, refusal := g.AdmitBody(t.Context(), newUpload("first", time.Second, time.Second), func() {}); refusal != nil {
				t.Fatal(refusal.Reason)
			}
			c := newUpload("next", time.Second, time.Second)
			if rate == slowLinkRate {
				c.Length = 1000
			}
			start := time.Now()
			if _, refusal := g.AdmitBody(t.Context(), c, func() {}); refusal != nil || time.Since(start) > 0 {
				t.Errorf("at %d bytes per second: refused %v or waited %v", rate, refusal, time.Since(start))
			}
		}
	})
}

// TestIntakeGivenUp checks that a body that would come too late is refused, and that
// neither it nor a cancelled one blocks the bodies after it.
func TestIntakeGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newIntakeGate(slowLinkRate)
		done, _ := g.AdmitBody(t.Context(), newUpload("first", time.Second, time.Second), func() {})
		if _, refusal := g.AdmitBody(t.Context(), newUpload("late", time.Second, 3*bodyTime), func() {}); refusal == nil || refusal.Outcome != ffmesh.OutcomeNotRun {
			t.Error("a body that would come too late was admitted")
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if _, refusal := g.AdmitBody(ctx, newUpload("left", time.Second, time.Second), func() {}); refusal == nil {
			t.Error("a body of a cancelled call was admitted")
		}
		done()
		start := time.Now()
		if _, refusal := g.AdmitBody(t.Context(), newUpload("last", time.Second, time.Second), func() {}); refusal != nil || time.Since(start) > 0 {
			t.Error("a refused or cancelled body still blocks the link")
		}
	})
}
