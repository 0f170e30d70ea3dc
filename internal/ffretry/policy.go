package ffretry

import (
	"sync"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// Maximum attempts of one call, in general and when its target is overloaded.
const (
	maxAttempts         = 4
	maxOverloadAttempts = 2
)

// Policy decides on retries and hedges of one daemon. The zero value is usable
// and retries without delay. It is safe for concurrent use.
type Policy struct {
	// Rand returns a random number in [0, 1) for the jitter; nil is the same as a
	// constant zero. It must be safe for concurrent use.
	Rand func() float64

	retries sync.Map // customer to *Budget
	hedges  sync.Map // customer to *Budget
	routes  sync.Map // route to *latencies
}

// RecordCall counts an admitted call, which adds to the customer's retry and hedge budgets.
func (p *Policy) RecordCall(c *ffconfig.Contract) {
	budgetOf(&p.retries, c.Customer).Deposit(c.RetryPercent)
	budgetOf(&p.hedges, c.Customer).Deposit(c.HedgePercent)
}

// Decide returns what to do after an attempt failed with err. attempt is the
// number of attempts made so far. A retry is charged to the customer's retry
// budget unless the call did not run because its VM was unavailable.
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
	if reason := stopReason(kind, attempt); reason != ReasonNone {
		return Decision{Reason: reason}
	}
	at := p.earliestStart(err, kind, attempt, now)
	if !at.Before(call.Deadline) {
		return Decision{Reason: ReasonDeadline}
	}
	if !isFreeRetry(outcome, kind) && !budgetOf(&p.retries, c.Customer).TryWithdraw(c.RetryPercent, now) {
		return Decision{Reason: ReasonBudget}
	}
	return Decision{Action: ActionRetry, Reason: ReasonTransient, NotBefore: at, OtherTarget: needsOtherTarget(err, kind)}
}
