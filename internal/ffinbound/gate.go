package ffinbound

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
	"fireflyfall.dev/fireflyfall/internal/ffhop"
	"fireflyfall.dev/fireflyfall/internal/ffmesh"
)

// defaultSlots is assumed for a target that does not tell its slots.
const defaultSlots = 4

// Local tells which target is believed to run beside the daemon.
type Local interface {
	// Local returns the target, and false when none is known.
	Local() (fffleet.Target, bool)
}

// Gate stands before the one target beside the daemon.
type Gate struct {
	Target  Local
	Dialect ffmesh.Dialect
	Pool    *ffhop.Pool
	// Intake orders the long bodies that come from other VMs.
	Intake *Intake
	Log    zerolog.Logger

	mu      sync.Mutex
	id      string
	slots   int
	running int
	queue   queue
	times   times
	closed  bool
}

// Do implements ffmesh.Gate.
func (g *Gate) Do(ctx context.Context, c *ffmesh.Call) *ffmesh.Reply {
	target, refusal := g.admit(c)
	if refusal != nil {
		return g.refused(c, refusal)
	}
	w, refusal := g.enter(c)
	if refusal != nil {
		return g.refused(c, refusal)
	}
	if refusal := g.wait(ctx, w); refusal != nil {
		return g.refused(c, refusal)
	}
	started := time.Now()
	reply := g.send(ctx, c, target)
	if reply.Stream != nil {
		reply.Stream = &held{ReadCloser: reply.Stream, release: func() { g.leave(c, reply, started) }}
		return g.seal(reply)
	}
	g.leave(c, reply, started)
	return g.seal(reply)
}

func (g *Gate) seal(r *ffmesh.Reply) *ffmesh.Reply {
	r.Load = g.Load()
	return r
}

// refused logs a refusal with what decided it, and returns its reply.
func (g *Gate) refused(c *ffmesh.Call, r *ffmesh.Reply) *ffmesh.Reply {
	g.seal(r)
	now := time.Now()
	g.Log.Info().Str("request", c.ID).Stringer("reason", r.Reason).Str("target", r.Load.Target).
		Int("running", r.Load.Running).Int("queued", r.Load.Queued).Int("slots", r.Load.Slots).
		Dur("typical", r.Load.Typical).Dur("wait", r.RetryIn).Dur("objectiveIn", c.Objective.Sub(now)).
		Dur("deadlineIn", c.Deadline.Sub(now)).Msg("gate refused")
	return r
}

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

// Drain refuses the calls that wait, because the target is leaving.
func (g *Gate) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
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
