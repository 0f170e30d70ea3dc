package ffinbound

import (
	"context"
	"time"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
	"fireflyfall.dev/fireflyfall/internal/ffmesh"
)

// Refusal returns why a call would be refused now, or nil.
func (g *Gate) Refusal(c *ffmesh.Call) *ffmesh.Reply {
	if _, refusal := g.admit(c); refusal != nil {
		return g.refused(c, refusal)
	}
	in := g.intake(c)
	g.mu.Lock()
	now := time.Now()
	refusal := g.busy(g.waiter(c), now.Add(in))
	g.mu.Unlock()
	if refusal == nil {
		return nil
	}
	refusal.RetryIn += in
	return g.refused(c, refusal)
}

// intake returns how long it takes until the body of c is in.
func (g *Gate) intake(c *ffmesh.Call) time.Duration {
	if g.Intake == nil || !c.Long() {
		return 0
	}
	return g.Intake.Ahead() + g.Intake.transfer(c)
}

// Receive waits until the body of c may come over the link, and calls alive while
// it waits. The caller calls done when the body is in or was given up.
func (g *Gate) Receive(ctx context.Context, c *ffmesh.Call, alive func()) (done func(), refusal *ffmesh.Reply) {
	if g.Intake == nil {
		return func() {}, nil
	}
	g.mu.Lock()
	expected := g.times.expected(c.Priority)
	g.mu.Unlock()
	done, ok := g.Intake.enter(ctx, c, expected, alive)
	if !ok {
		return nil, g.refused(c, refuse(ffmesh.ReasonIntake, g.Intake.Ahead()))
	}
	return done, nil
}

func refuse(reason ffmesh.Reason, in time.Duration) *ffmesh.Reply {
	return &ffmesh.Reply{Outcome: ffmesh.OutcomeNotRun, Reason: reason, RetryIn: in}
}

// admit checks that the call is meant for the target that runs here.
func (g *Gate) admit(c *ffmesh.Call) (fffleet.Target, *ffmesh.Reply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	target, ok := g.Target.Local()
	switch {
	case g.closed:
		return target, refuse(ffmesh.ReasonLeaving, 0)
	case !ok || target.Service != c.Service:
		return target, refuse(ffmesh.ReasonNoTarget, 0)
	case c.Target != "" && c.Target != target.ID:
		return target, refuse(ffmesh.ReasonMisdirect, 0)
	case target.State == fffleet.StateDraining:
		return target, refuse(ffmesh.ReasonDraining, 0)
	}
	g.follow(target)
	return target, nil
}

// follow takes up a new life of the target. The caller holds the lock.
func (g *Gate) follow(t fffleet.Target) {
	g.slots = t.Slots
	if g.slots <= 0 {
		g.slots = defaultSlots
	}
	if g.id == t.ID {
		return
	}
	g.id = t.ID
	g.times.reset()
	g.Pool.Clear()
}

// enter queues a call, or refuses it when it cannot be in time.
func (g *Gate) enter(c *ffmesh.Call) (*waiter, *ffmesh.Reply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	w := g.waiter(c)
	if refusal := g.busy(w, now); refusal != nil {
		return nil, refusal
	}
	g.queue.push(w)
	g.dispatch(now)
	return w, nil
}

func (g *Gate) waiter(c *ffmesh.Call) *waiter {
	return &waiter{
		priority:  c.Priority,
		objective: c.Objective,
		deadline:  c.Deadline,
		expected:  g.times.expected(c.Priority),
		granted:   make(chan bool, 1),
	}
}

// busy refuses a call whose turn would come too late. The caller holds the lock.
func (g *Gate) busy(w *waiter, now time.Time) *ffmesh.Reply {
	delay := g.delay(w, now)
	if w.hopeless(now.Add(delay)) || w.late(now.Add(delay)) && g.crowded() {
		return refuse(ffmesh.ReasonBusy, delay)
	}
	return nil
}

// crowded reports whether so many calls wait that those which miss their objective
// would only keep others from theirs. The caller holds the lock.
func (g *Gate) crowded() bool { return 2*len(g.queue.waiting) >= g.slots }

// delay estimates how long w waits for a slot. The caller holds the lock.
func (g *Gate) delay(w *waiter, now time.Time) time.Duration {
	ahead := g.queue.ahead(w, now)
	if g.running < g.slots && len(g.queue.waiting) == 0 {
		return 0
	}
	return (ahead + g.times.typical()) / time.Duration(g.slots)
}
