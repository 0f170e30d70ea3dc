package ffoutbound

import (
	"context"
	"time"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
	"fireflyfall.dev/fireflyfall/internal/ffmesh"
	"fireflyfall.dev/fireflyfall/internal/ffpace"
)

// offer sends a call to the gate of one target and records the load or the failure.
// retryShare is the probability that its run counts as a retry.
func (h *Handler) offer(ctx context.Context, t fffleet.Target, c *ffmesh.Call, retryShare float64) *ffmesh.Reply {
	targeted := *c
	targeted.Target = t.ID
	targeted.RetryShare = retryShare
	board := h.Picker.Loads
	targeted.TargetLimit = board.limit(t)
	board.startCall(t.VM(), c)
	reply := ffmesh.Contain(h.Log, c, func() *ffmesh.Reply { return h.Gates.Gate(t.VM()).Do(ctx, &targeted) })
	board.endCall(t.VM())
	if reply.Outcome == ffmesh.OutcomeRan {
		h.recordNotice(t, reply)
	}
	if reply.ReplacedTarget() {
		h.Config.MarkReplaced(t)
	}
	now := time.Now()
	switch {
	case reply.Load.Target != "":
		board.recordLoad(locationOf(t), reply.Load, now)
	case ctx.Err() == nil:
		board.markUnreachable(locationOf(t), now)
	}
	return reply
}

// recordNotice records what t said of itself in an answer, since its gate forgets that
// when the daemon there restarts.
func (h *Handler) recordNotice(t fffleet.Target, answer *ffmesh.Reply) {
	n, err := h.Dialect.Notice(answer.Header)
	if n.Leaving {
		h.Config.MarkLeaving(t)
	}
	switch {
	case err != nil: // The gate has logged it.
	case n.Limited:
		h.Picker.Loads.recordLimit(t, max(n.Limit, ffpace.MinRate))
	default:
		h.Picker.Loads.recordLimit(t, 0)
	}
}

// sendHedged offers an idempotent call to a target and, if that is slow or its VM
// silent, also to a second one. The first response with a status below 500 wins, and
// the other call is cancelled.
func (r *run) sendHedged(ctx context.Context, t fffleet.Target) *ffmesh.Reply {
	ctx, cancel := context.WithCancel(ctx)
	answers := newAnswers()
	defer answers.end()
	silent := make(chan struct{}, 2)
	offer := func(t fffleet.Target, retryShare float64) {
		c := *r.call
		c.OnSilence = r.onSilence(t, silent)
		answers.add(r.handler.offer(ctx, t, &c, retryShare))
	}
	startedAt := time.Now()
	go offer(t, r.retryShare())
	timer := time.NewTimer(time.Until(r.hedgeAt(t)))
	defer timer.Stop()
	var best *ffmesh.Reply
	hedge := func(maxBusy float64) (started int) {
		second, ok := r.pickHedge(maxBusy)
		if !ok {
			return 0
		}
		go offer(second, 1)
		return 1
	}
	for pending := 1; pending > 0; {
		select {
		case <-timer.C:
			if started := r.hedgeSlow(hedge); started > 0 {
				pending += started
			} else if r.mayHedge() {
				timer.Reset(hedgeRetryInterval)
			}
		case <-silent:
			pending += hedge(1)
		case reply := <-answers.replies:
			pending--
			best = keepBetter(best, reply)
			if reply.Outcome == ffmesh.OutcomeRan && reply.Status < 500 {
				pending = 0
				r.handler.Hedges.recordAnswer(r.call, time.Since(startedAt))
			}
		}
	}
	if best.Stream == nil {
		cancel()
	} else {
		best.Stream = &cancelReader{ReadCloser: best.Stream, cancel: cancel}
	}
	return best
}

// onSilence returns the function to call if the VM of t does not acknowledge the call
// in time. It returns nil if the call should be sent only once the VM has asked for
// it: a call with a long body, or to a VM that is not known to be live and reachable.
func (r *run) onSilence(t fffleet.Target, silent chan<- struct{}) func() {
	board := r.handler.Picker.Loads
	s := board.snapshot(t.VM())
	if now := time.Now(); r.call.HasLongBody() || now.Before(s.unreachableUntil) || now.After(s.silentAt) {
		return nil
	}
	return func() {
		board.markUnreachable(locationOf(t), time.Now())
		silent <- struct{}{}
	}
}

// keepBetter returns the more useful of two replies and closes the other: a response with
// a status below 500, else one of 500 or above, else a. a may be nil.
func keepBetter(a, b *ffmesh.Reply) *ffmesh.Reply {
	switch {
	case a == nil:
		return b
	case b.Outcome == ffmesh.OutcomeRan && (a.Outcome != ffmesh.OutcomeRan || a.Status >= 500):
		a.Close()
		return b
	}
	b.Close()
	return a
}

// hedgeAt returns when a call to t that is sent now counts as slow.
func (r *run) hedgeAt(t fffleet.Target) time.Time {
	return Slowness{
		StartedAt: time.Now(), Typical: r.handler.Picker.Loads.snapshot(t.VM()).load.Typical,
		ObjectiveAt: r.call.Objective, Objective: r.route.Objective, SlowFrom: r.handler.Hedges.slowFrom(r.call),
	}.HedgeAt()
}

// hedgeSlow starts a hedge of a slow call if the operators' limit has room for it, and returns
// how many were started.
func (r *run) hedgeSlow(hedge func(maxBusy float64) int) int {
	if !r.handler.Hedges.allows(r.call) {
		return 0
	}
	started := hedge(maxHedgeBusy)
	if started > 0 {
		r.handler.Hedges.recordCopy(r.call)
	}
	return started
}

// mayHedge reports whether the request may be sent to one more target.
func (r *run) mayHedge() bool { return !r.hedged && r.arrivals+1 < r.route.Attempts }

// pickHedge picks a target with a free slot for a hedge, and at most the share maxBusy of
// its slots in use, if the attempts, the deadline and the retry budget allow it.
func (r *run) pickHedge(maxBusy float64) (fffleet.Target, bool) {
	h := r.handler
	now := time.Now()
	if !r.mayHedge() {
		return fffleet.Target{}, false
	}
	choice, ok := r.pick(now)
	if !ok || choice.Wait > 0 || choice.Busy > maxBusy || choice.Cost > time.Until(r.call.Deadline) || !h.Budget.tryRetry(r.call, r.clientRetry, now) {
		return fffleet.Target{}, false
	}
	r.hedged = true
	r.tried[choice.Target.ID] = true
	r.arrivals++
	h.Log.Info().Str("request", r.call.ID).Str("route", r.route.Name).Str("first", r.choice.Target.ID).
		Str("target", choice.Target.ID).Dur("cost", choice.Cost).Dur("elapsed", now.Sub(r.call.Received)).Msg("hedge")
	return choice.Target, true
}
