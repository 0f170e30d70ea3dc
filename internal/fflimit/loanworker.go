package fflimit

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
)

// evictionInterval is the time between two evictions of idle accounts.
const evictionInterval = time.Minute

// loanScheduler queues requests to other cells when a cell lacks tokens or permits. It
// also evicts idle accounts.
type loanScheduler struct {
	exchange *Exchange
	queues   [loanWorkerCount]chan LoanRequest
}

// run checks for due loans and idle accounts until the context ends.
func (s *loanScheduler) run(ctx context.Context) {
	loanTicks := time.NewTicker(loanCheckInterval)
	defer loanTicks.Stop()
	evictionTicks := time.NewTicker(evictionInterval)
	defer evictionTicks.Stop()
	for {
		select {
		case <-loanTicks.C:
			s.scheduleLoans()
		case <-evictionTicks.C:
			s.exchange.Limiter.evictIdleAccounts(s.exchange.Clock())
		case <-ctx.Done():
			return
		}
	}
}

func (s *loanScheduler) scheduleLoans() {
	l := s.exchange.Limiter
	for _, loan := range l.allocator.dueLoans(l.Holder, s.exchange.Clock()) {
		select {
		case s.queues[xxhash.Sum64String(loan.VM.Name)%loanWorkerCount] <- loan:
		default:
			l.allocator.finishLoan(loan.Cell, loan.Request, nil, s.exchange.Clock())
		}
	}
}

// loanWorker sends requests to some of the other cells.
type loanWorker struct {
	exchange *Exchange
	queue    chan LoanRequest
}

// run sends requests until the context ends.
func (w *loanWorker) run(ctx context.Context) {
	for {
		select {
		case loan := <-w.queue:
			w.request(ctx, loan)
		case <-ctx.Done():
			return
		}
	}
}

func (w *loanWorker) request(ctx context.Context, loan LoanRequest) {
	var resp *Response
	if resps := w.exchange.send(ctx, loan.VM, []Request{loan.Request}); resps != nil {
		resp = &resps[0]
	}
	w.exchange.Limiter.allocator.finishLoan(loan.Cell, loan.Request, resp, w.exchange.Clock())
}
