package ffoutbound

import (
	"context"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffmesh"
)

//go:generate stringer -type=nextStep -linecomment -output=enum_string.go

// nextStep is what follows a failed offer: another one, or the reason why there is none.
type nextStep int

const (
	stepRepeat        nextStep = iota // repeat
	stepBodySpent                     // bodySpent
	stepMayHaveRun                    // mayHaveRun
	stepAttemptsSpent                 // attemptsSpent
	stepBudgetSpent                   // budgetSpent
	stepNoTarget                      // noTarget
)

// next returns the choice for another offer after a failed one, and whether to make it. It
// logs why.
func (r *run) next(ctx context.Context) (Choice, bool) {
	if r.succeeded() || ctx.Err() != nil {
		return Choice{}, false
	}
	choice, step := r.nextOffer()
	r.handler.Log.Info().Str("request", r.call.ID).Str("route", r.route.Name).Uint64("version", r.table.Version).
		Str("target", r.choice.Target.ID).Stringer("peer", r.choice.Target.VM()).
		Dur("cost", r.choice.Cost).Dur("factAge", r.choice.LoadAge).Int("candidates", r.choice.Candidates).
		Stringer("outcome", r.reply.Outcome).Stringer("reason", r.reply.Reason).Int("status", r.reply.Status).
		Int("arrivals", r.arrivals).Stringer("next", step).Msg("offer failed")
	return choice, step == stepRepeat
}

// nextOffer decides what follows a failed offer. A retry is taken out of the budget only if
// there is a target for it.
func (r *run) nextOffer() (Choice, nextStep) {
	switch {
	case r.call.Stream != nil && r.call.Stream.Opened():
		return Choice{}, stepBodySpent
	case r.mayHaveRun && !r.route.Kind.Idempotent():
		return Choice{}, stepMayHaveRun
	case r.reply.Arrived && r.arrivals >= max(r.route.Attempts, 1) || r.offers >= maxOffers:
		return Choice{}, stepAttemptsSpent
	}
	now := time.Now()
	choice, ok := r.pick(now)
	switch {
	case !ok || !choice.worthRetry(r.call, now):
		return Choice{}, stepNoTarget
	case r.reply.Arrived && !r.handler.Budget.tryRetry(r.call, r.clientRetry, now):
		return Choice{}, stepBudgetSpent
	}
	return choice, stepRepeat
}

// worthRetry reports whether a refused call should be offered to the chosen target: one that
// is not closed and can start it before the objective or, with a free slot, end it before
// the deadline.
func (c Choice) worthRetry(call *ffmesh.Call, now time.Time) bool {
	switch {
	case c.Cost > closedCost:
		return false
	case !now.Add(c.Wait).After(call.Objective):
		return true
	}
	return c.Wait == 0 && !now.Add(c.Cost).After(call.Deadline)
}
