package ffinbound_test

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
	"fireflyfall.dev/fireflyfall/internal/ffmesh"
	"fireflyfall.dev/fireflyfall/internal/ffpace"
)

// coldTarget is a target that takes few calls while cold, and may be evacuated.
type coldTarget struct {
	target    fffleet.Target
	evacuated atomic.Bool
}

func (c *coldTarget) LocalTarget() (fffleet.Target, bool) { return c.target, true }
func (c *coldTarget) MarkLeaving(fffleet.Target)          {}
func (c *coldTarget) MarkReplaced(fffleet.Target)         {}
func (c *coldTarget) Evacuated() bool                     { return c.evacuated.Load() }
func (c *coldTarget) HealthPath() string                  { return "/health" }
func (c *coldTarget) Tolerance() ffpace.Tolerance {
	return ffpace.Tolerance{PerSecond: 5, Ratio: 1.5, Slack: 4, ColdTime: time.Minute}
}

// warmDialect finds in every answer that the target is warm.
type warmDialect struct{ dialect }

func (warmDialect) Notice(http.Header) (ffmesh.Notice, error) {
	return ffmesh.Notice{Warming: true}, nil
}

// TestUnknownTargetIsPaced checks that a gate that knows nothing of its target takes it for
// cold, and refuses what the target cannot run in time, until the target says that it is warm.
func TestUnknownTargetIsPaced(t *testing.T) {
	for name, tc := range map[string]struct {
		d        ffmesh.Dialect
		min, max int
	}{
		"says nothing": {dialect{}, 1, 8},
		"says warm":    {warmDialect{}, 100, 100},
	} {
		t.Run(name, func(t *testing.T) {
			g, _, _ := newGate(t, 50, time.Millisecond)
			target, _ := g.Target.LocalTarget()
			g.Target, g.Dialect = &coldTarget{target: target}, tc.d
			g.Do(context.Background(), newCall("first", 1, time.Second, time.Second))
			<-time.After(50 * time.Millisecond)
			results := make(chan *ffmesh.Reply)
			for range 100 {
				go func() {
					results <- g.Do(context.Background(), newCall("x", 1, 300*time.Millisecond, 400*time.Millisecond))
				}()
			}
			ran := 0
			for range 100 {
				r := <-results
				switch {
				case r.Outcome == ffmesh.OutcomeRan:
					ran++
				case r.Outcome != ffmesh.OutcomeNotRun || r.Arrived || r.RetryIn <= 0:
					t.Errorf("refused with %v %v, retry in %v", r.Outcome, r.Reason, r.RetryIn)
				}
			}
			if ran < tc.min || ran > tc.max {
				t.Errorf("%d calls ran, want %d to %d", ran, tc.min, tc.max)
			}
		})
	}
}

// TestEvacuatedGate checks that an evacuation refuses the calls that wait, and that the
// target counts as cold once it is taken back.
func TestEvacuatedGate(t *testing.T) {
	g, order, _ := newGate(t, 1, 100*time.Millisecond)
	target, _ := g.Target.LocalTarget()
	source := &coldTarget{target: target}
	g.Target, g.Dialect = source, warmDialect{}
	waiting := make(chan *ffmesh.Reply)
	go g.Do(context.Background(), newCall("running", 1, time.Second, 2*time.Second))
	<-time.After(30 * time.Millisecond)
	go func() { waiting <- g.Do(context.Background(), newCall("waiting", 1, time.Second, 2*time.Second)) }()
	<-time.After(20 * time.Millisecond)
	source.evacuated.Store(true)
	g.Refresh()
	if r := <-waiting; r.Reason != ffmesh.ReasonEvacuated || !g.Load().Closed {
		t.Errorf("refused because of %v, gate closed %v", r.Reason, g.Load().Closed)
	}
	source.evacuated.Store(false)
	g.Refresh()
	if g.Load().Limit == 0 {
		t.Error("the target counts as warm after the evacuation")
	}
	if slices.Contains(*order, "waiting") {
		t.Errorf("calls at the target: %v", *order)
	}
}
