package ffinbound

import (
	"time"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
	"fireflyfall.dev/fireflyfall/internal/ffmesh"
)

// Load returns what the gate knows of its target now.
func (g *Gate) Load() ffmesh.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	target, ok := g.Target.Local()
	l := ffmesh.Load{
		Target:  target.ID,
		Running: g.running,
		Queued:  len(g.queue.waiting),
		Slots:   target.Slots,
		Typical: g.times.faded(now),
		Failing: float32(g.times.failures(now)),
		Closed:  g.closed || !ok || target.State == fffleet.StateDraining,
	}
	if g.Intake != nil {
		l.Intake, l.Link = g.Intake.Ahead(), g.Intake.Rate
	}
	return l
}

// Close refuses every call from now on, and those that wait.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	g.flush()
}

func (g *Gate) flush() {
	for _, w := range g.queue.waiting {
		w.granted <- false
	}
	g.queue.waiting = nil
}

// Running returns the number of calls at the target.
func (g *Gate) Running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running
}
