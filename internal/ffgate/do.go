package ffgate

import (
	"context"
	"errors"
	"hash/maphash"
	"time"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/internal/ffqueue"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// digestSeed makes the hash of a request unpredictable to callers.
var digestSeed = maphash.MakeSeed()

// Do runs a call, or returns what became of it when it came before. An error is
// always an *ffcall.Error; its outcome is notRun only when this attempt did not run.
func (g *Gate) Do(ctx context.Context, c *ffcall.Call) (*ffcall.Reply, error) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	x, r, refusal := g.admit(c, g.verify(c))
	if refusal != nil {
		return nil, g.report(refusal)
	}
	if x == nil {
		return g.await(ctx, r)
	}
	reply, refusal := x.do(ctx)
	if refusal != nil {
		return nil, g.report(refusal)
	}
	return g.answer(x.record, reply), nil
}

// admit finds the record of a call that came before, or records and queues a new one.
func (g *Gate) admit(c *ffcall.Call, v verdict) (*execution, *record, *ffcall.Error) {
	digest := digestOf(c)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.prepare()
	now := g.now()
	g.store.sweep(now)
	a := attempt{call: callKey{c.Customer, c.ID}, token: v.claims.ID, hasToken: v.valid, digest: digest, durable: true, deadline: c.Deadline}
	r, refusal := g.store.find(a)
	if r != nil || refusal != nil {
		return nil, r, refusal
	}
	route, refusal := g.mayStart(now, c, v)
	if refusal != nil {
		return nil, nil, g.store.refuse(now, a, refusal)
	}
	a.route = route.Name
	a.durable = a.hasToken || !route.Idempotent
	r, refusal = g.store.begin(a)
	if refusal != nil {
		return nil, nil, refusal
	}
	x := g.newExecution(now, c, r, route)
	if refusal := g.enqueue(now, x); refusal != nil {
		return nil, nil, refusal
	}
	return x, nil, nil
}

// mayStart returns the route of a new call, or why none is started now.
func (g *Gate) mayStart(now time.Time, c *ffcall.Call, v verdict) (*ffconfig.Route, *ffcall.Error) {
	if refusal := g.mayUse(now, v); refusal != nil {
		return nil, refusal
	}
	if g.drain.started() {
		return nil, ffcall.Refuse("start", ffcall.KindLeaving, merry.New("the daemon is leaving"))
	}
	route, err := g.config.route(c.Route)
	if err != nil {
		return nil, err
	}
	if !g.health.allow(now) {
		err := ffcall.Refuse("start", ffcall.KindNotReady, merry.New("the target accepts no connection"))
		err.RetryAt = g.health.probeAt
		return nil, err
	}
	return route, nil
}

func (g *Gate) newExecution(now time.Time, c *ffcall.Call, r *record, route *ffconfig.Route) *execution {
	x := &execution{gate: g, call: c, record: r, probe: !g.health.ready(), queuedAt: now, decided: make(chan *ffcall.Error, 1)}
	x.item = g.Off.item(x, c, route.Class, g.estimator.Estimate(now, route.Name, route.Class))
	return x
}

// enqueue puts an execution into the queue. The caller holds the lock.
func (g *Gate) enqueue(now time.Time, x *execution) *ffcall.Error {
	g.drain.active++
	evicted, err := g.queue.Push(now, x.item)
	if err != nil {
		refusal := queueFault(err)
		g.end(now, x, 0, nil, refusal)
		return refusal
	}
	if evicted != nil {
		g.decide(now, evicted.Value, ffcall.Refuse("wait", ffcall.KindOverload, merry.New("the queue is full")))
	}
	g.dispatch(now)
	return nil
}

func queueFault(err error) *ffcall.Error {
	var e *ffqueue.Error
	if errors.As(err, &e) && e.Kind == ffqueue.KindDeadline {
		return ffcall.Refuse("queue", ffcall.KindDeadline, err)
	}
	return ffcall.Refuse("queue", ffcall.KindOverload, err)
}

// dispatch gives every free slot to the next call in order. The caller holds the lock.
func (g *Gate) dispatch(now time.Time) {
	for {
		it, decision := g.queue.Next(now)
		switch decision {
		case ffqueue.DecisionWait:
			return
		case ffqueue.DecisionLate:
			g.decide(now, it.Value, late("wait"))
		case ffqueue.DecisionRun:
			g.metrics.waited(it.Class, now.Sub(it.Value.queuedAt))
			it.Value.decided <- nil
		}
	}
}

func (g *Gate) look() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatch(g.now())
}

// decide refuses a call that waits. The caller holds the lock.
func (g *Gate) decide(now time.Time, x *execution, refusal *ffcall.Error) {
	g.end(now, x, 0, nil, refusal)
	x.decided <- refusal
}

// lastCheck is the last look before the target sees the call: the process may
// have been paused since the call got its slot.
func (g *Gate) lastCheck(x *execution) (time.Time, *ffcall.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	refusal := g.mayRun(now, x)
	if refusal != nil {
		g.end(now, x, 0, nil, refusal)
		g.dispatch(now)
	}
	return now, refusal
}

func (g *Gate) mayRun(now time.Time, x *execution) *ffcall.Error {
	switch {
	case !now.Before(x.call.Deadline):
		return late("run")
	case x.caller.Err() != nil:
		return ffcall.Refuse("run", kindOf(x.caller), context.Cause(x.caller))
	case !g.health.ready() && !x.probe:
		return ffcall.Refuse("run", ffcall.KindNotReady, merry.New("the target accepts no connection"))
	}
	return nil
}

// complete takes up what became of a call that was given to the target.
func (g *Gate) complete(x *execution, started time.Time, reply *ffcall.Reply, refusal *ffcall.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	used := now.Sub(started)
	g.learn(now, x, used, refusal)
	g.end(now, x, used, reply, refusal)
	g.dispatch(now)
}

// learn adjusts the slots in use, the readiness and the service times.
func (g *Gate) learn(now time.Time, x *execution, used time.Duration, refusal *ffcall.Error) {
	all := g.config.service.Slots
	switch {
	case refusal == nil:
		g.health.reached()
		g.limiter.ran(all)
		g.estimator.Observe(now, x.call.Route.Name, used)
	case refusal.Kind == ffcall.KindUnreachable && refusal.Outcome == ffcall.OutcomeNotRun:
		g.health.failed(now)
	case refusal.Kind == ffcall.KindOverload && refusal.Outcome == ffcall.OutcomeNotRun:
		g.health.reached()
		g.limiter.shed(now, all)
	}
	g.setLimits()
}

// end records an outcome and gives the slot back. The caller holds the lock.
func (g *Gate) end(now time.Time, x *execution, used time.Duration, reply *ffcall.Reply, refusal *ffcall.Error) {
	x.reply, x.refusal = reply, refusal
	g.queue.Remove(x.item)
	g.queue.Release(x.item, used)
	g.store.finish(now, x.record, reply, refusal)
	g.drain.ended()
}

func digestOf(c *ffcall.Call) uint64 {
	var h maphash.Hash
	h.SetSeed(digestSeed)
	for _, part := range []string{c.Method, c.Path, c.Token} {
		_, _ = h.WriteString(part)
		_ = h.WriteByte(0)
	}
	_, _ = h.Write(c.Body)
	return h.Sum64() | 1
}
