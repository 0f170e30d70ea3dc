package ffinbound

import (
	"time"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
	"fireflyfall.dev/fireflyfall/internal/ffmesh"
)

// Load returns the current load of the target.
func (g *Gate) Load() ffmesh.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	target, ok := g.Target.LocalTarget()
	l := ffmesh.Load{
		Target:  target.ID,
		Running: g.running,
		Queued:  len(g.queue.waiting),
		Slots:   target.Slots,
		Typical: g.stats.decayedTypical(now),
		Failing: float32(g.stats.failureRate(now)),
		Closed:  g.closed || !ok || target.State == fffleet.StateDraining || g.Target.Evacuated(),
	}
	if rate := g.limit(now); rate > 0 {
		l.Limit, l.Paced = float32(rate), g.nextAt(len(g.queue.waiting), now).Sub(now)
	}
	if g.Intake != nil {
		l.Intake, l.Link = g.Intake.Backlog(), g.Intake.Rate
	}
	return l
}

// limit returns the calls per second that the target takes; 0 if there is no limit. The
// caller holds the lock.
func (g *Gate) limit(now time.Time) float64 {
	named, cold := g.pacer.Rate(), g.warmup.Rate(now)
	if named == 0 || cold == 0 {
		return max(named, cold)
	}
	return min(named, cold)
}

// Close refuses all calls that wait, and all later ones.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	g.refuseWaiting()
}

func (g *Gate) refuseWaiting() {
	for _, w := range g.queue.waiting {
		w.granted <- false
	}
	g.queue.waiting = nil
}

// Running returns the number of calls in progress at the target.
func (g *Gate) Running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running
}
