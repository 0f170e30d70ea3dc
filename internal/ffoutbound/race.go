package ffoutbound

import (
	"context"
	"time"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
	"fireflyfall.dev/fireflyfall/internal/ffmesh"
)

const (
	// hedgeTimes is the multiple of the typical service time after which a call
	// counts as slow.
	hedgeTimes = 3
	// hedgePart is the least part of the objective after which a call counts as slow.
	hedgePart = 0.4
)

// offer hands a call to the gate of one target and learns from the reply.
func (h *Handler) offer(ctx context.Context, t fffleet.Target, c *ffmesh.Call) *ffmesh.Reply {
	to := *c
	to.Target = t.ID
	board := h.Picker.Board
	board.begin(t.VM(), c)
	reply := h.Gates.Gate(t.VM()).Do(ctx, &to)
	board.end(t.VM())
	now := time.Now()
	switch {
	case reply.Load.Target != "":
		board.learn(t.VM(), reply.Load, now)
	case ctx.Err() == nil:
		board.fail(t.VM(), now)
	}
	return reply
}

// race offers an idempotent call to a target and, when that is slow, to a second
// one beside it. The first good answer wins and the other call is cancelled.
func (r *run) race(ctx context.Context, t fffleet.Target) *ffmesh.Reply {
	ctx, cancel := context.WithCancel(ctx)
	replies := make(chan *ffmesh.Reply, 2)
	silent := make(chan struct{}, 2)
	offer := func(t fffleet.Target) {
		c := *r.call
		c.Silent = r.onSilence(t, silent)
		replies <- r.handler.offer(ctx, t, &c)
	}
	go offer(t)
	timer := time.NewTimer(r.hedgeDelay(t))
	defer timer.Stop()
	var last *ffmesh.Reply
	hedge := func() (more int) {
		second, ok := r.second()
		if !ok {
			return 0
		}
		go offer(second)
		return 1
	}
	for open := 1; open > 0; {
		select {
		case <-timer.C:
			open += hedge()
		case <-silent:
			open += hedge()
		case reply := <-replies:
			open--
			last = better(last, reply)
			if reply.Outcome == ffmesh.OutcomeRan && reply.Status < 500 {
				open = 0
			}
		}
	}
	if last.Stream == nil {
		cancel()
	} else {
		last.Stream = &cancelling{ReadCloser: last.Stream, cancel: cancel}
	}
	return last
}

// onSilence returns what to do when the VM of t shows no sign, or nil when a call
// had better not go there before the VM has asked for it.
func (r *run) onSilence(t fffleet.Target, silent chan<- struct{}) func() {
	board := r.handler.Picker.Board
	f := board.get(t.VM())
	if now := time.Now(); r.call.Long() || now.Before(f.down) || now.After(f.silentAt) {
		return nil
	}
	return func() {
		board.fail(t.VM(), time.Now())
		silent <- struct{}{}
	}
}

// better returns the reply of two that says more.
func better(a, b *ffmesh.Reply) *ffmesh.Reply {
	if a == nil || b.Outcome == ffmesh.OutcomeRan && (a.Outcome != ffmesh.OutcomeRan || a.Status >= 500) {
		return b
	}
	return a
}

// hedgeDelay returns after which time a call to t counts as slow.
func (r *run) hedgeDelay(t fffleet.Target) time.Duration {
	f := r.handler.Picker.Board.get(t.VM())
	delay := max(hedgeTimes*f.load.Typical, time.Duration(hedgePart*float64(r.route.Objective)))
	return delay
}

// second picks a target with a free slot to hedge with, if the budget has room.
func (r *run) second() (fffleet.Target, bool) {
	h := r.handler
	now := time.Now()
	if r.hedged || r.arrivals+1 >= r.route.Attempts {
		return fffleet.Target{}, false
	}
	choice, ok := h.Picker.Pick(h.Words.Fleet(), r.call, r.tried, now)
	if !ok || choice.Wait > 0 || choice.Cost > time.Until(r.call.Deadline) || !h.Budget.Repeat(r.call.Service, r.call.Priority, r.returns, now) {
		return fffleet.Target{}, false
	}
	r.hedged = true
	r.tried[choice.Target.ID] = true
	r.arrivals++
	h.Log.Info().Str("request", r.call.ID).Str("route", r.route.Name).Str("first", r.choice.Target.ID).
		Str("target", choice.Target.ID).Dur("cost", choice.Cost).Dur("elapsed", now.Sub(r.call.Received)).Msg("hedge")
	return choice.Target, true
}
