package ffoutbound

import (
	"context"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffmesh"
	"fireflyfall.dev/fireflyfall/internal/ffroute"
)

// maxOffers limits the offers of one request to gates; a hedge is not counted.
const maxOffers = 5

// run is the processing of one request, from the first offer to the response.
type run struct {
	handler *Handler
	call    *ffmesh.Call
	route   *ffroute.Route
	table   *ffroute.Table
	tried   map[string]bool
	// arrivals counts the targets that received the request, and a hedge once it is sent.
	arrivals int
	offers   int
	choice   Choice
	reply    *ffmesh.Reply
	// response is the target's response: a success, or the latest failure with a
	// status of 500 or above, kept in case no retry succeeds.
	response *ffmesh.Reply
	// hedged reports whether the request was also sent to a second target.
	hedged bool
	// clientRetry reports whether the client probably asks again after a refusal.
	clientRetry bool
	// mayHaveRun reports whether a target may have run the request and failed: its
	// outcome was unknown, or its status 500 or above.
	mayHaveRun bool
	retryIn    time.Duration
}

// do offers the request to targets until one succeeds or no other may be tried.
func (r *run) do(ctx context.Context) {
	now := time.Now()
	r.handler.Budget.recordRequest(r.call, now)
	r.handler.Hedges.recordCall(r.call)
	for choice, ok := r.pick(now); ok && ctx.Err() == nil; choice, ok = r.next(ctx) {
		r.send(ctx, choice)
	}
}

// pick chooses a target that was not tried, and reports whether there is one.
func (r *run) pick(now time.Time) (Choice, bool) {
	return r.handler.Picker.Pick(r.handler.Config.Fleet(), r.call, r.tried, now)
}

// send offers the request to the chosen target.
func (r *run) send(ctx context.Context, choice Choice) {
	h, t := r.handler, choice.Target
	r.choice = choice
	r.tried[t.ID] = true
	r.offers++
	if r.route.Kind.Idempotent() && r.call.Stream == nil {
		r.reply = r.sendHedged(ctx, t)
	} else {
		r.reply = h.offer(ctx, t, r.call, r.retryShare())
	}
	r.recordReply()
}

// retryShare returns the probability that a run of the next offer counts as a retry.
func (r *run) retryShare() float64 {
	if r.arrivals > 0 {
		return 1
	}
	return r.call.RetryShare
}

// recordReply records whether the request reached a target, ran or may have run, and closes
// the reply that is not to be the response.
func (r *run) recordReply() {
	if r.reply.Arrived {
		r.arrivals++
	}
	switch {
	case r.reply.Outcome == ffmesh.OutcomeRan:
		r.mayHaveRun = r.mayHaveRun || r.reply.Status >= 500
		r.response.Close()
		r.response = r.reply
	case r.reply.Outcome == ffmesh.OutcomeUnknown:
		r.mayHaveRun = true
		r.reply.Close()
	default:
		r.reply.Close()
	}
	if r.reply.RetryIn > 0 && (r.retryIn == 0 || r.reply.RetryIn < r.retryIn) {
		r.retryIn = r.reply.RetryIn
	}
}

// succeeded reports whether the target answered with a status below 500.
func (r *run) succeeded() bool {
	return r.reply.Outcome == ffmesh.OutcomeRan && r.reply.Status < 500
}
