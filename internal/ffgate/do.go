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

// Do runs a call, or returns the recorded outcome if the call was received before.
// An error is always an *ffcall.Error; its outcome is OutcomeNotRun only if this
// attempt did not run.
func (g *Gate) Do(ctx context.Context, c *ffcall.Call) (*ffcall.Reply, error) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	x, r, refusal := g.admit(c, g.verify(c))
	if refusal != nil {
		return nil, g.reportRefusal(refusal)
	}
	if x == nil {
		return g.await(ctx, r)
	}
	reply, refusal := x.do(ctx)
	if refusal != nil {
		return nil, g.reportRefusal(refusal)
	}
	return g.completeReply(x.record, reply), nil
}

// admit returns the record of a call that was received before, or records and
// queues a new call.
func (g *Gate) admit(c *ffcall.Call, v verification) (*execution, *record, *ffcall.Error) {
	digest := requestDigest(c)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.prepare()
	now := g.now()
	g.store.sweep(now)
	a := attempt{call: callKey{c.Customer, c.ID}, token: v.claims.ID, hasToken: v.valid, digest: digest, atMostOnce: true, deadline: c.Deadline}
	r, refusal := g.store.find(a)
	if r != nil || refusal != nil {
		return nil, r, refusal
	}
	route, refusal := g.checkStart(now, c, v)
	if refusal != nil {
		return nil, nil, g.store.recordRefusal(now, a, refusal)
	}
	a.route = route.Name
	a.atMostOnce = a.hasToken || !route.Idempotent
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

// checkStart returns the route of a new call, or the reason why the call cannot be
// started now.
func (g *Gate) checkStart(now time.Time, c *ffcall.Call, v verification) (*ffconfig.Route, *ffcall.Error) {
	if refusal := g.checkToken(now, v); refusal != nil {
		return nil, refusal
	}
	if g.drain.started() {
		return nil, ffcall.Refuse("start", ffcall.KindLeaving, merry.New("the daemon is draining"))
	}
	route, err := g.config.route(c.Route)
	if err != nil {
		return nil, err
	}
	if !g.health.allow(now) {
		err := ffcall.Refuse("start", ffcall.KindNotReady, merry.New("the target does not accept connections"))
		err.RetryAt = g.health.probeAt
		return nil, err
	}
	return route, nil
}

func (g *Gate) newExecution(now time.Time, c *ffcall.Call, r *record, route *ffconfig.Route) *execution {
	x := &execution{gate: g, call: c, record: r, probe: !g.health.ready(), queuedAt: now, decision: make(chan *ffcall.Error, 1)}
	x.item = g.Off.newItem(x, c, route.Class, g.estimator.Estimate(now, route.Name, route.Class))
	return x
}

// enqueue adds an execution to the queue. The caller holds the lock.
func (g *Gate) enqueue(now time.Time, x *execution) *ffcall.Error {
	g.drain.active++
	evicted, err := g.queue.Push(now, x.item)
	if err != nil {
		refusal := queueRefusal(err)
		g.finish(now, x, 0, nil, refusal)
		return refusal
	}
	if evicted != nil {
		g.refuseQueued(now, evicted.Value, ffcall.Refuse("wait", ffcall.KindOverload, merry.New("the queue is full")))
	}
	g.dispatch(now)
	return nil
}

func queueRefusal(err error) *ffcall.Error {
	var e *ffqueue.Error
	if errors.As(err, &e) && e.Kind == ffqueue.KindDeadline {
		return ffcall.Refuse("queue", ffcall.KindDeadline, err)
	}
	return ffcall.Refuse("queue", ffcall.KindOverload, err)
}

// dispatch assigns free slots to waiting calls in queue order. The caller holds
// the lock.
func (g *Gate) dispatch(now time.Time) {
	for {
		it, decision := g.queue.Next(now)
		switch decision {
		case ffqueue.DecisionWait:
			return
		case ffqueue.DecisionLate:
			g.refuseQueued(now, it.Value, deadlineRefusal("wait"))
		case ffqueue.DecisionRun:
			g.metrics.observeWait(it.Class, now.Sub(it.Value.queuedAt))
			it.Value.decision <- nil
		}
	}
}

// redispatch is dispatch for callers that do not hold the lock.
func (g *Gate) redispatch() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatch(g.now())
}

// refuseQueued refuses a waiting call. The caller holds the lock.
func (g *Gate) refuseQueued(now time.Time, x *execution, refusal *ffcall.Error) {
	g.finish(now, x, 0, nil, refusal)
	x.decision <- refusal
}

// checkBeforeRun checks a call again right before it is sent to the target: the
// process may have been paused since the call got its slot.
func (g *Gate) checkBeforeRun(x *execution) (time.Time, *ffcall.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	refusal := g.checkRun(now, x)
	if refusal != nil {
		g.finish(now, x, 0, nil, refusal)
		g.dispatch(now)
	}
	return now, refusal
}

func (g *Gate) checkRun(now time.Time, x *execution) *ffcall.Error {
	switch {
	case !now.Before(x.call.Deadline):
		return deadlineRefusal("run")
	case x.callerCtx.Err() != nil:
		return ffcall.Refuse("run", contextKind(x.callerCtx), context.Cause(x.callerCtx))
	case !g.health.ready() && !x.probe:
		return ffcall.Refuse("run", ffcall.KindNotReady, merry.New("the target does not accept connections"))
	}
	return nil
}

// complete records the result of a call that was sent to the target.
func (g *Gate) complete(x *execution, started time.Time, reply *ffcall.Reply, refusal *ffcall.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	used := now.Sub(started)
	g.recordResult(now, x, used, refusal)
	g.finish(now, x, used, reply, refusal)
	g.dispatch(now)
}

// recordResult updates the usable slots, the readiness of the target and the
// service time estimates.
func (g *Gate) recordResult(now time.Time, x *execution, used time.Duration, refusal *ffcall.Error) {
	all := g.config.service.Slots
	switch {
	case refusal == nil:
		g.health.connectionSucceeded()
		g.limiter.increase(all)
		g.estimator.Observe(now, x.call.Route.Name, used)
	case refusal.Kind == ffcall.KindUnreachable && refusal.Outcome == ffcall.OutcomeNotRun:
		g.health.connectionFailed(now)
	case refusal.Kind == ffcall.KindOverload && refusal.Outcome == ffcall.OutcomeNotRun:
		g.health.connectionSucceeded()
		g.limiter.decrease(now, all)
	}
	g.setLimits()
}

// finish records an outcome and frees the slot. The caller holds the lock.
func (g *Gate) finish(now time.Time, x *execution, used time.Duration, reply *ffcall.Reply, refusal *ffcall.Error) {
	x.reply, x.refusal = reply, refusal
	g.queue.Remove(x.item)
	g.queue.Release(x.item, used)
	g.store.finish(now, x.record, reply, refusal)
	g.drain.callEnded()
}

// requestDigest returns the hash of a request; never zero.
func requestDigest(c *ffcall.Call) uint64 {
	var h maphash.Hash
	h.SetSeed(digestSeed)
	for _, part := range []string{c.Method, c.Path, c.Token} {
		_, _ = h.WriteString(part)
		_ = h.WriteByte(0)
	}
	_, _ = h.Write(c.Body)
	return h.Sum64() | 1
}
