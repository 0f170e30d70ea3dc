package ffdistribution

import (
	"context"
	"sync/atomic"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffaudit"
)

const (
	// beatInterval is the interval between heartbeats of a running daemon.
	beatInterval = 250 * time.Millisecond
	// pauseThreshold is the time without a heartbeat after which a daemon
	// considers itself to have been paused.
	pauseThreshold = 2 * time.Second
)

// pauseDetector detects that the process was not running. It compares wall clock
// times too, because the monotonic clock stops while a VM is suspended.
type pauseDetector struct {
	last atomic.Pointer[time.Time]
}

func (p *pauseDetector) beat(now time.Time) { p.last.Store(&now) }

// overdue reports whether the last heartbeat is older than pauseThreshold.
func (p *pauseDetector) overdue(now time.Time) bool {
	last := p.last.Load()
	if last == nil {
		return false
	}
	return max(now.Sub(*last), now.Round(0).Sub(last.Round(0))) > pauseThreshold
}

// runPause records heartbeats and detects pauses. After a pause all evidence is
// discarded, OnPause is called, and the daemon must synchronise again before it is
// ready.
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
	if n.pause.overdue(now) {
		n.handlePause(now)
	}
	n.pause.beat(now)
	n.Members.RemoveExpired(now)
	if n.synced.Load() {
		n.renewEvidence(now)
	}
}

func (n *Node) handlePause(now time.Time) {
	n.synced.Store(false)
	n.counts.pauses.Add(1)
	n.Members.ClearEvidence()
	if n.OnPause != nil {
		n.OnPause()
	}
	trySend(n.resync, struct{}{})
	if n.Audit != nil {
		last := n.pause.last.Load()
		n.Audit.Record(ffaudit.Event{Kind: ffaudit.KindPauseDetected, Version: n.Store.Version().String(), Detail: "paused for " + now.Sub(*last).String()})
	}
}
