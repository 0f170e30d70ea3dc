package ffinbound

import (
	"context"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffmesh"
)

// dispatch grants free slots to waiting calls, as fast as the target's limit allows, and
// refuses those that would miss their deadline, or all if the target accepts no more.
// The caller holds the lock.
func (g *Gate) dispatch(now time.Time) {
	if !g.targetAccepts() {
		g.refuseWaiting()
		return
	}
	for g.running < g.slots && len(g.queue.waiting) > 0 {
		if at := g.nextAt(0, now); at.After(now) {
			g.wakeAt(at)
			return
		}
		w := g.popNext(now)
		if w.missesDeadline(now) {
			w.granted <- false
			continue
		}
		if g.warmup.Cold(now) {
			g.floor = g.floor.WithGranted(w.class, now)
		}
		g.pacer, g.warmup = g.pacer.WithCall(now), g.warmup.WithCall(now)
		g.running++
		w.granted <- true
	}
}

// popNext removes and returns the next call of the queue. The caller holds the lock.
func (g *Gate) popNext(now time.Time) *waiter {
	for _, w := range g.queue.waiting {
		w.owed = g.owes(w.class, 0, now)
	}
	return g.queue.pop(now)
}

// nextAt returns when a call with a number of others ahead of it has its turn under the
// limits of the target. The caller holds the lock.
func (g *Gate) nextAt(ahead int, now time.Time) time.Time {
	at, warm := g.pacer.NextAt(ahead, now), g.warmup.NextAt(ahead, now)
	if warm.After(at) {
		return warm
	}
	return at
}

// wakeAt lets dispatch run again at a time. The caller holds the lock.
func (g *Gate) wakeAt(at time.Time) {
	if g.wake == nil {
		g.wake = time.AfterFunc(time.Until(at), g.runWake)
		return
	}
	g.wake.Reset(time.Until(at))
}

// runWake grants the calls whose turn under the target's limit has come.
func (g *Gate) runWake() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatch(time.Now())
}

// wait blocks until a slot is granted and returns nil, or returns the refusal. It gives
// up early enough for the entry to still answer the client.
func (g *Gate) wait(ctx context.Context, c *ffmesh.Call, w *waiter) *ffmesh.Reply {
	objectiveTimer := time.NewTimer(time.Until(w.objective.Add(-w.expected / 2)))
	defer objectiveTimer.Stop()
	deadlineTimer := time.NewTimer(time.Until(w.deadline.Add(-w.expected / 2)))
	defer deadlineTimer.Stop()
	alive := newAliveTimer(c)
	defer alive.Stop()
	for waiting := true; waiting; {
		select {
		case ok := <-w.granted:
			return g.waitResult(c, ok)
		case <-alive.C:
			alive.Reset(keepAliveInterval)
			c.OnWait()
		case <-objectiveTimer.C:
			if g.removeWaiting(w, true) {
				return g.waitResult(c, false)
			}
		case <-deadlineTimer.C:
			if g.removeWaiting(w, false) {
				return g.waitResult(c, false)
			}
			return g.waitResult(c, <-w.granted)
		case <-ctx.Done():
			waiting = false
		}
	}
	if !g.removeWaiting(w, false) && <-w.granted {
		g.releaseSlot()
	}
	return newRefusal(ffmesh.ReasonCanceled, 0)
}

// newAliveTimer returns a timer that fires at once for a call whose sender needs to know
// that it waits, and never for others.
func newAliveTimer(c *ffmesh.Call) *time.Timer {
	alive := time.NewTimer(0)
	if c.OnWait == nil {
		alive.Stop()
	}
	return alive
}

// removeWaiting removes a call from the queue and reports whether it did. With
// ifCongested it removes the call only from a congested queue.
func (g *Gate) removeWaiting(w *waiter, ifCongested bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if ifCongested && !g.congested() {
		return false
	}
	return g.queue.remove(w)
}

// waitResult returns nil if a slot was granted to c, and the refusal otherwise.
func (g *Gate) waitResult(c *ffmesh.Call, granted bool) *ffmesh.Reply {
	if granted {
		return nil
	}
	if _, refusal := g.checkTarget(c); refusal != nil {
		return refusal
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return newRefusal(ffmesh.ReasonDeadline, g.stats.typical())
}

func (g *Gate) releaseSlot() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.dispatch(time.Now())
}

// startCall records that a call is sent to the target, and returns the time.
func (g *Gate) startCall(c *ffmesh.Call) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.runs.add(c)
	return time.Now()
}

// finishCall releases the slot of a call and records its service time and outcome.
func (g *Gate) finishCall(c *ffmesh.Call, r *ffmesh.Reply, started time.Time) {
	now := time.Now()
	g.mu.Lock()
	g.runs.remove(c)
	if r.Outcome == ffmesh.OutcomeRan {
		g.stats.recordTime(now, c.Class, now.Sub(started))
	}
	if r.Reason != ffmesh.ReasonCanceled {
		g.stats.recordOutcome(now, r.Reason != ffmesh.ReasonNone || r.Status >= 500)
	}
	g.mu.Unlock()
	g.releaseSlot()
}
