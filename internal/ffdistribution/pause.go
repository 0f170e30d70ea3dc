package ffdistribution

import (
	"context"
	"sync/atomic"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffaudit"
)

const (
	// beatInterval is the time between two beats of a daemon that runs.
	beatInterval = 250 * time.Millisecond
	// pauseLimit is the time without a beat after which a daemon takes itself for paused.
	pauseLimit = 2 * time.Second
)

// pauseDetector notices that the process did not run. It judges by the wall
// clock too, because the monotonic clock stands still while a VM is suspended.
type pauseDetector struct {
	last atomic.Pointer[time.Time]
}

func (p *pauseDetector) beat(now time.Time) { p.last.Store(&now) }

// late reports whether the last beat is too long ago.
func (p *pauseDetector) late(now time.Time) bool {
	last := p.last.Load()
	if last == nil {
		return false
	}
	return max(now.Sub(*last), now.Round(0).Sub(last.Round(0))) > pauseLimit
}

// runPause beats; after a pause it treats the view and every deadline as expired
// and has the daemon learn again before it is ready.
func (n *Node) runPause(ctx context.Context) error {
	n.pause.beat(time.Now())
	for {
		if waitUntil(ctx, time.Now().Add(beatInterval)) != nil {
			return nil
		}
		n.beat(time.Now())
	}
}

func (n *Node) beat(now time.Time) {
	if n.pause.late(now) {
		n.resume(now)
	}
	n.pause.beat(now)
	n.Members.Expire(now)
	if n.learnt.Load() {
		n.renew(now)
	}
}

func (n *Node) resume(now time.Time) {
	n.learnt.Store(false)
	n.counts.pauses.Add(1)
	n.Members.Forget()
	if n.OnPause != nil {
		n.OnPause()
	}
	offer(n.relearn, struct{}{})
	if n.Audit != nil {
		last := n.pause.last.Load()
		n.Audit.Record(ffaudit.Event{Kind: ffaudit.KindPauseDetected, Version: n.Store.Version().String(), Detail: "paused for " + now.Sub(*last).String()})
	}
}
