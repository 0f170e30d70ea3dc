package ffinbound

import (
	"context"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffmesh"
)

// dispatch gives free slots away. The caller holds the lock.
func (g *Gate) dispatch(now time.Time) {
	for g.running < g.slots {
		w := g.queue.pop(now)
		if w == nil {
			return
		}
		if w.hopeless(now) {
			w.granted <- false
			continue
		}
		g.running++
		w.granted <- true
	}
}

// wait blocks until the call has a slot, or returns its refusal. It gives up
// early enough that the entry can still tell the client.
func (g *Gate) wait(ctx context.Context, w *waiter) *ffmesh.Reply {
	patience := time.NewTimer(time.Until(w.objective.Add(-w.expected / 2)))
	defer patience.Stop()
	last := time.NewTimer(time.Until(w.deadline.Add(-w.expected / 2)))
	defer last.Stop()
	for waiting := true; waiting; {
		select {
		case ok := <-w.granted:
			return g.late(ok)
		case <-patience.C:
			if g.giveUp(w, true) {
				return g.late(false)
			}
		case <-last.C:
			if g.giveUp(w, false) {
				return g.late(false)
			}
			return g.late(<-w.granted)
		case <-ctx.Done():
			waiting = false
		}
	}
	if !g.giveUp(w, false) && <-w.granted {
		g.release()
	}
	return refuse(ffmesh.ReasonCanceled, 0)
}

// giveUp takes a call out of the queue, if need be only out of a crowded one, and
// reports whether it did.
func (g *Gate) giveUp(w *waiter, ifCrowded bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if ifCrowded && !g.crowded() {
		return false
	}
	return g.queue.remove(w)
}

func (g *Gate) late(granted bool) *ffmesh.Reply {
	if granted {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return refuse(ffmesh.ReasonDeadline, g.times.typical())
}

func (g *Gate) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.dispatch(time.Now())
}

// leave gives the slot of a call back and learns from what became of it.
func (g *Gate) leave(c *ffmesh.Call, r *ffmesh.Reply, started time.Time) {
	now := time.Now()
	g.mu.Lock()
	if r.Outcome == ffmesh.OutcomeRan {
		g.times.observe(now, c.Priority, now.Sub(started))
	}
	if r.Reason != ffmesh.ReasonCanceled {
		g.times.outcome(now, r.Reason != ffmesh.ReasonNone || r.Status >= 500)
	}
	g.mu.Unlock()
	g.release()
}
