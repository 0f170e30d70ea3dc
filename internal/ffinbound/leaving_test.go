package ffinbound_test

import (
	"context"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
	"fireflyfall.dev/fireflyfall/internal/ffinbound"
	"fireflyfall.dev/fireflyfall/internal/ffmesh"
)

// leavingTarget is a target that is draining once it left.
type leavingTarget struct {
	staticTarget
	left *atomic.Bool
}

func (l leavingTarget) LocalTarget() (fffleet.Target, bool) {
	t := l.target
	if l.left.Load() {
		t.State = fffleet.StateDraining
	}
	return t, true
}

func (l leavingTarget) MarkLeaving(fffleet.Target) { l.left.Store(true) }

// TestAcceptedCallsAfterLeaving guards against calls that were accepted before the news
// that the target is leaving and sent to it afterwards.
func TestAcceptedCallsAfterLeaving(t *testing.T) {
	const work = 200 * time.Millisecond
	for name, setUp := range map[string]func(g *ffinbound.Gate, left *atomic.Bool) (sentBefore int){
		"queued": func(g *ffinbound.Gate, left *atomic.Bool) int {
			go g.Do(context.Background(), newCall("running", 1, time.Second, 2*time.Second))
			time.AfterFunc(work/2, func() { left.Store(true) })
			<-time.After(work / 4)
			return 1
		},
		"connecting": func(g *ffinbound.Gate, left *atomic.Bool) int {
			dialer := *g.Pool.Dialer
			dialer.Control = func(string, string, syscall.RawConn) error {
				left.Store(true)
				return nil
			}
			g.Pool.Dialer = &dialer
			return 0
		},
	} {
		t.Run(name, func(t *testing.T) {
			g, order, _ := newGate(t, 1, work)
			target, _ := g.Target.LocalTarget()
			left := new(atomic.Bool)
			g.Target = leavingTarget{staticTarget: staticTarget{target}, left: left}
			sentBefore := setUp(g, left)
			r := g.Do(context.Background(), newCall("late", 1, time.Second, 2*time.Second))
			if r.Outcome != ffmesh.OutcomeNotRun || r.Reason != ffmesh.ReasonDraining || r.Arrived {
				t.Errorf("got %v %v, arrived %v", r.Outcome, r.Reason, r.Arrived)
			}
			if len(*order) != sentBefore || g.Running() != 0 {
				t.Errorf("the target got %v; %d slots in use", *order, g.Running())
			}
		})
	}
}
