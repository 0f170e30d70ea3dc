package ffretry

import (
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// Observe records the latency of an attempt on a route, from its start to the
// end of its answer.
func (p *Policy) Observe(route string, latency time.Duration, now time.Time) {
	p.latenciesOf(route).observe(latency, now)
}

// HedgeAt returns the time from which a call that started at start may be sent
// to a second target, and whether it may be hedged at all: only short idempotent
// calls whose contract allows hedging, and only before their deadline.
func (p *Policy) HedgeAt(c *ffconfig.Contract, call *ffcall.Call, start time.Time) (time.Time, bool) {
	if c.HedgePercent <= 0 || !call.Route.Idempotent || call.Route.Class != ffconfig.ClassShort {
		return time.Time{}, false
	}
	delay := p.latenciesOf(call.Route.Name).hedgeDelay()
	at := start.Add(delay)
	return at, delay > 0 && at.Before(call.Deadline)
}

// TryHedge takes one attempt from the customer's hedge budget and reports
// whether the budget and the deadline allow it.
func (p *Policy) TryHedge(c *ffconfig.Contract, call *ffcall.Call, now time.Time) bool {
	if !now.Before(call.Deadline) {
		return false
	}
	return budgetOf(&p.hedges, c.Customer).TryWithdraw(c.HedgePercent, now)
}

func (p *Policy) latenciesOf(route string) *latencies {
	if l, ok := p.routes.Load(route); ok {
		return l.(*latencies)
	}
	l, _ := p.routes.LoadOrStore(route, newLatencies())
	return l.(*latencies)
}
