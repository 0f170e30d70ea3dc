package ffretry

import (
	"sync"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// Bounds of the attempts of one call.
const (
	maxAttempts         = 4
	maxOverloadAttempts = 2
)

// Policy decides on retries and hedges of one daemon. The zero value works, with
// no jitter in its delays. It is safe for concurrent use.
type Policy struct {
	// Draw returns a random number in [0, 1); nil stands for zero. It must be safe
	// for concurrent use.
	Draw func() float64

	retries sync.Map // customer to *Budget
	hedges  sync.Map // customer to *Budget
	routes  sync.Map // route to *latencies
}

// Called counts a call that was admitted; it pays for retries and hedges to come.
func (p *Policy) Called(c *ffconfig.Contract) {
	budgetOf(&p.retries, c.Customer).Earn(c.RetryPercent)
	budgetOf(&p.hedges, c.Customer).Earn(c.HedgePercent)
}

// Decide tells what to do after an attempt failed with err. attempt is the
// number of attempts made so far; the retry budget is spent when the decision
// is to retry a call that has cost its target something.
func (p *Policy) Decide(c *ffconfig.Contract, call *ffcall.Call, err error, attempt int, now time.Time) Decision {
	if !now.Before(call.Deadline) {
		return Decision{Reason: ReasonDeadline}
	}
	outcome, kind := ffcall.OutcomeOf(err), ffcall.KindOf(err)
	if outcome == ffcall.OutcomeRan {
		return Decision{Reason: ReasonOutcome}
	}
	if outcome == ffcall.OutcomeUnknown && !call.Route.Idempotent {
		return askOutcome(kind, now)
	}
	if reason := refuses(kind, attempt); reason != ReasonNone {
		return Decision{Reason: reason}
	}
	at := p.notBefore(err, kind, attempt, now)
	if !at.Before(call.Deadline) {
		return Decision{Reason: ReasonDeadline}
	}
	if !moves(outcome, kind) && !budgetOf(&p.retries, c.Customer).Spend(c.RetryPercent, now) {
		return Decision{Reason: ReasonBudget}
	}
	return Decision{Action: ActionRetry, Reason: ReasonTransient, At: at, Elsewhere: elsewhere(err, kind)}
}
