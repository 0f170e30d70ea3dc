package ffinbound

import (
	"context"
	"time"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
	"fireflyfall.dev/fireflyfall/internal/ffmesh"
	"fireflyfall.dev/fireflyfall/internal/ffpace"
)

// Refusal returns the reply to a call that would be refused now, or nil.
func (g *Gate) Refusal(c *ffmesh.Call) *ffmesh.Reply {
	if _, refusal := g.checkTarget(c); refusal != nil {
		return g.logRefusal(c, refusal)
	}
	delay := g.intakeDelay(c)
	g.mu.Lock()
	now := time.Now()
	refusal := g.checkDelay(g.newWaiter(c, now), now.Add(delay))
	g.mu.Unlock()
	if refusal == nil {
		return nil
	}
	refusal.RetryIn += delay
	return g.logRefusal(c, refusal)
}

// intakeDelay estimates how long it takes to receive the body of c.
func (g *Gate) intakeDelay(c *ffmesh.Call) time.Duration {
	if g.Intake == nil || !c.HasLongBody() {
		return 0
	}
	return g.Intake.Backlog() + g.Intake.transferTime(c)
}

// AdmitBody waits until the body of c may be sent over the link, and calls keepAlive
// while it waits. The caller calls done once the body was received or abandoned.
func (g *Gate) AdmitBody(ctx context.Context, c *ffmesh.Call, keepAlive func()) (done func(), refusal *ffmesh.Reply) {
	if refusal := g.checkConnection(ctx, c); refusal != nil {
		return nil, refusal
	}
	if g.Intake == nil {
		return func() {}, nil
	}
	g.mu.Lock()
	expected := g.stats.expected(c.Class)
	g.mu.Unlock()
	done, ok := g.Intake.acquire(ctx, c, expected, keepAlive)
	if !ok {
		return nil, g.logRefusal(c, newRefusal(ffmesh.ReasonIntake, g.Intake.Backlog()))
	}
	return done, nil
}

// newRefusal returns the reply to a call that was not run; it may be retried after
// retryIn.
func newRefusal(reason ffmesh.Reason, retryIn time.Duration) *ffmesh.Reply {
	return &ffmesh.Reply{Outcome: ffmesh.OutcomeNotRun, Reason: reason, RetryIn: retryIn}
}

// checkTarget checks that the call is for the current target, and that the gate and
// the target accept calls.
func (g *Gate) checkTarget(c *ffmesh.Call) (fffleet.Target, *ffmesh.Reply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	target, ok := g.Target.LocalTarget()
	switch {
	case g.closed:
		return target, newRefusal(ffmesh.ReasonLeaving, 0)
	case !ok || target.Service != c.Service:
		return target, newRefusal(ffmesh.ReasonNoTarget, 0)
	case c.Target != "" && c.Target != target.ID:
		return target, newRefusal(ffmesh.ReasonMisdirected, 0)
	case target.State == fffleet.StateDraining:
		return target, newRefusal(ffmesh.ReasonDraining, 0)
	case g.Target.Evacuated():
		return target, newRefusal(ffmesh.ReasonEvacuated, 0)
	}
	g.updateTarget(target, time.Now())
	return target, nil
}

// targetAccepts reports whether the target for which calls wait still accepts calls. The
// caller holds the lock.
func (g *Gate) targetAccepts() bool {
	target, ok := g.Target.LocalTarget()
	return ok && target.ID == g.target.ID && target.State != fffleet.StateDraining && !g.Target.Evacuated()
}

// updateTarget stores the listed entry t of the target. If it is a new run, it discards the
// statistics and the connections of the previous one. The caller holds the lock.
func (g *Gate) updateTarget(t fffleet.Target, now time.Time) {
	g.slots = t.Slots
	if g.slots <= 0 {
		g.slots = defaultSlots
	}
	g.warmup = g.warmup.WithTolerance(g.Target.Tolerance())
	last := g.target
	g.target = t
	switch {
	case last.SameRun(t):
		g.updateColdness(last, t, now)
		return
	case last.ID == t.ID:
		// The connections of the previous run are broken, and its statistics still tell
		// something.
	default:
		g.refuseWaiting()
		g.stats.reset()
		g.pacer = ffpace.Pacer{}
		g.Pool.CloseIdle()
	}
	g.doubtWarmth("new run", now)
}

// enqueue queues a call, or refuses it if it cannot finish in time.
func (g *Gate) enqueue(c *ffmesh.Call) (*waiter, *ffmesh.Reply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if c.RetryShare == 1 && g.AllowsRetriedRun != nil && !g.AllowsRetriedRun(g.runs.retries(), now) {
		return nil, newRefusal(ffmesh.ReasonBudget, 0)
	}
	g.pacer = g.pacer.WithHint(c.TargetLimit, now)
	w, refusal := g.admit(c, now)
	if refusal != nil {
		return nil, refusal
	}
	g.askIfDoubtful(now)
	g.dispatch(now)
	return w, nil
}

// admit adds a call to the queue unless it is refused. The caller holds the lock.
func (g *Gate) admit(c *ffmesh.Call, now time.Time) (*waiter, *ffmesh.Reply) {
	if g.warmup.Cold(now) {
		g.floor = g.floor.WithAsked(c.Class, now)
	}
	w := g.newWaiter(c, now)
	if refusal := g.checkDelay(w, now); refusal != nil {
		return nil, refusal
	}
	g.queue.push(w)
	return w, nil
}

// owes reports whether the next call of a class, of which a number wait already, goes before
// those of a higher priority: while the target is cold, no class is left out. The caller
// holds the lock.
func (g *Gate) owes(class uint16, waiting int, now time.Time) bool {
	return g.warmup.Cold(now) && g.floor.Owed(class, waiting)
}

func (g *Gate) newWaiter(c *ffmesh.Call, now time.Time) *waiter {
	return &waiter{
		class:     c.Class,
		owed:      g.owes(c.Class, g.queue.countOf(c.Class), now),
		priority:  c.Priority,
		objective: c.Objective,
		deadline:  c.Deadline,
		expected:  g.stats.expected(c.Class),
		usual:     g.stats.usual(c.Class),
		granted:   make(chan bool, 1),
	}
}

// checkDelay refuses a call that would start too late for its deadline or, while the
// queue is congested, for its objective. The caller holds the lock.
func (g *Gate) checkDelay(w *waiter, now time.Time) *ffmesh.Reply {
	delay := g.queueDelay(w, now)
	if w.missesDeadline(now.Add(delay)) || w.risksObjective(now.Add(delay)) && g.congested() {
		return newRefusal(ffmesh.ReasonBusy, delay)
	}
	return nil
}

// congested reports whether so many calls wait that serving those that miss their
// objective would only make others miss theirs. The caller holds the lock.
func (g *Gate) congested() bool { return 2*len(g.queue.waiting) >= g.slots }

// queueDelay estimates how long w waits for a slot and for its turn under the target's
// limit. The caller holds the lock.
func (g *Gate) queueDelay(w *waiter, now time.Time) time.Duration {
	calls, work := g.queue.ahead(w, now)
	paced := g.nextAt(calls, now).Sub(now)
	if g.running < g.slots && len(g.queue.waiting) == 0 {
		return paced
	}
	return max(paced, (work+g.stats.typical())/time.Duration(g.slots))
}
