package ffoutbound

import (
	"context"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffmesh"
	"fireflyfall.dev/fireflyfall/internal/ffroute"
)

// maxOffers bounds the gates that one request is offered to.
const maxOffers = 5

// run is one request on its way.
type run struct {
	handler *Handler
	call    *ffmesh.Call
	route   *ffroute.Route
	table   *ffroute.Table
	tried   map[string]bool
	// arrivals counts the targets that got the request.
	arrivals int
	offers   int
	choice   Choice
	reply    *ffmesh.Reply
	// answer is a target's own failure, kept in case that no repeat does better.
	answer *ffmesh.Reply
	// hedged tells that a second target was asked beside a slow first one.
	hedged bool
	// returns tells that the client was refused before and asks again.
	returns bool
	// maybe tells that the request may have run although no answer came.
	maybe   bool
	retryIn time.Duration
}

// do sends the request to targets until one answers or nothing more may be tried.
func (r *run) do(ctx context.Context) {
	r.handler.Budget.Request(r.call.Service, r.call.Priority, time.Now())
	for r.offers < maxOffers && ctx.Err() == nil {
		if !r.pick() {
			return
		}
		r.send(ctx)
		if !r.again(ctx) {
			return
		}
	}
}

func (r *run) pick() bool {
	now := time.Now()
	h := r.handler
	choice, ok := h.Picker.Pick(h.Words.Fleet(), r.call, r.tried, now)
	if !ok || r.offers > 0 && (choice.Cost > closedCost || now.Add(choice.Wait).After(r.call.Objective)) {
		return false
	}
	r.choice = choice
	r.tried[choice.Target.ID] = true
	return true
}

// send offers the request to the chosen target.
func (r *run) send(ctx context.Context) {
	h, t := r.handler, r.choice.Target
	r.offers++
	if r.route.Kind.Idempotent() && r.call.Stream == nil {
		r.reply = r.race(ctx, t)
	} else {
		r.reply = h.offer(ctx, t, r.call)
	}
	r.account()
}

// account notes what the reply says of where the request has been.
func (r *run) account() {
	if r.reply.Arrived {
		r.arrivals++
	}
	switch {
	case r.reply.Outcome == ffmesh.OutcomeUnknown:
		r.maybe = true
	case r.reply.Outcome == ffmesh.OutcomeRan && r.reply.Status >= 500:
		r.maybe = true
		r.answer = r.reply
	case r.reply.Outcome == ffmesh.OutcomeRan:
		r.answer = r.reply
	}
	if r.reply.RetryIn > 0 && (r.retryIn == 0 || r.reply.RetryIn < r.retryIn) {
		r.retryIn = r.reply.RetryIn
	}
}

// good reports whether the target answered with anything but a failure of its own.
func (r *run) good() bool {
	return r.reply.Outcome == ffmesh.OutcomeRan && r.reply.Status < 500
}

// again decides whether the request goes to another target, and logs why.
func (r *run) again(ctx context.Context) bool {
	if r.good() || ctx.Err() != nil {
		return false
	}
	verdict := r.verdict()
	r.handler.Log.Info().Str("request", r.call.ID).Str("route", r.route.Name).Uint64("version", r.table.Version).
		Str("target", r.choice.Target.ID).Stringer("peer", r.choice.Target.VM()).
		Dur("cost", r.choice.Cost).Dur("factAge", r.choice.Age).Int("candidates", r.choice.Candidates).
		Stringer("outcome", r.reply.Outcome).Stringer("reason", r.reply.Reason).Int("status", r.reply.Status).
		Int("arrivals", r.arrivals).Str("next", verdict).Msg("offer failed")
	return verdict == "repeat"
}

// verdict names what becomes of a request after a failed offer.
func (r *run) verdict() string {
	switch {
	case r.call.Stream != nil && r.reply.Reason != ffmesh.ReasonConnect:
		return "bodySpent"
	case r.maybe && !r.route.Kind.Idempotent():
		return "mayHaveRun"
	case r.reply.Arrived && r.arrivals >= max(r.route.Attempts, 1):
		return "attemptsSpent"
	case r.reply.Arrived && !r.handler.Budget.Repeat(r.call.Service, r.call.Priority, r.returns, time.Now()):
		return "budgetSpent"
	}
	return "repeat"
}
