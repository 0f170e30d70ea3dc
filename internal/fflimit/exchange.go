package fflimit

import (
	"context"
	"sync"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffprotocol"
)

// Bounds of the exchange with allocators.
const (
	askTimeout   = 100 * time.Millisecond
	tradeTick    = 50 * time.Millisecond
	maxBatchAsks = 128
	// loanQueue is the capacity of a broker's queue.
	loanQueue = 64
	// brokers is the number of goroutines that ask other cells.
	brokers = 4
)

// Peers reaches the limit service of other daemons.
type Peers interface {
	AskLimits(ctx context.Context, vm ffmember.VM, req *ffprotocol.AskRequest) (*ffprotocol.AskResponse, error)
}

// Exchange carries the asks of a limiter to the allocators.
type Exchange struct {
	Limiter *Limiter
	Peers   Peers
	// Clock returns the time now.
	Clock func() time.Time
}

// Run carries asks until the context ends.
func (x *Exchange) Run(ctx context.Context) {
	x.Limiter.once.Do(x.Limiter.makeQueues)
	var wg sync.WaitGroup
	for _, queue := range x.Limiter.queues {
		c := &courier{exchange: x, queue: queue}
		wg.Go(func() { c.run(ctx) })
	}
	t := &trader{exchange: x}
	for i := range t.queues {
		t.queues[i] = make(chan Loan, loanQueue)
		b := &broker{exchange: x, queue: t.queues[i]}
		wg.Go(func() { b.run(ctx) })
	}
	wg.Go(func() { t.run(ctx) })
	wg.Wait()
}

// send sends asks to one allocator and returns an answer to each; nil when it
// did not answer.
func (x *Exchange) send(ctx context.Context, vm ffmember.VM, asks []Ask) []Answer {
	req := &ffprotocol.AskRequest{}
	for _, q := range asks {
		req.Asks = append(req.Asks, q.message())
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	resp, err := x.Peers.AskLimits(ctx, vm, req)
	if err != nil || len(resp.GetAnswers()) != len(asks) {
		return nil
	}
	answers := make([]Answer, len(asks))
	for i, m := range resp.GetAnswers() {
		answers[i] = answerOf(asks[i], m)
	}
	return answers
}
