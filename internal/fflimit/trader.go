package fflimit

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
)

// sweepInterval is the time between two searches for accounts to forget.
const sweepInterval = time.Minute

// trader finds out when a cell lacks something and has the other cells asked.
type trader struct {
	exchange *Exchange
	queues   [brokers]chan Loan
}

// run looks for lacks until the context ends.
func (t *trader) run(ctx context.Context) {
	trades := time.NewTicker(tradeTick)
	defer trades.Stop()
	sweeps := time.NewTicker(sweepInterval)
	defer sweeps.Stop()
	for {
		select {
		case <-trades.C:
			t.trade()
		case <-sweeps.C:
			t.exchange.Limiter.forget(t.exchange.Clock())
		case <-ctx.Done():
			return
		}
	}
}

func (t *trader) trade() {
	l := t.exchange.Limiter
	for _, loan := range l.allocator.loans(l.Holder, t.exchange.Clock()) {
		select {
		case t.queues[xxhash.Sum64String(loan.VM.Name)%brokers] <- loan:
		default:
			l.allocator.settle(loan.Cell, loan.Ask, nil, t.exchange.Clock())
		}
	}
}

// broker asks some of the other cells.
type broker struct {
	exchange *Exchange
	queue    chan Loan
}

// run asks until the context ends.
func (b *broker) run(ctx context.Context) {
	for {
		select {
		case loan := <-b.queue:
			b.ask(ctx, loan)
		case <-ctx.Done():
			return
		}
	}
}

func (b *broker) ask(ctx context.Context, loan Loan) {
	var answer *Answer
	if answers := b.exchange.send(ctx, loan.VM, []Ask{loan.Ask}); answers != nil {
		answer = &answers[0]
	}
	b.exchange.Limiter.allocator.settle(loan.Cell, loan.Ask, answer, b.exchange.Clock())
}
