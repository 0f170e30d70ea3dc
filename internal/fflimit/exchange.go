package fflimit

import (
	"context"
	"sync"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffprotocol"
)

// Limits on requests to allocators.
const (
	requestTimeout      = 100 * time.Millisecond
	loanCheckInterval   = 50 * time.Millisecond
	maxRequestsPerBatch = 128
	// loanQueueSize is the capacity of a loan worker's queue.
	loanQueueSize = 64
	// loanWorkerCount is the number of goroutines that send requests to other cells.
	loanWorkerCount = 4
)

// Peers calls the limit service of other daemons.
type Peers interface {
	RequestLimits(ctx context.Context, vm ffmember.VM, req *ffprotocol.AskRequest) (*ffprotocol.AskResponse, error)
}

// Exchange sends the requests of a limiter to the allocators.
type Exchange struct {
	Limiter *Limiter
	Peers   Peers
	// Clock returns the current time.
	Clock func() time.Time
}

// Run sends requests until the context ends.
func (x *Exchange) Run(ctx context.Context) {
	x.Limiter.once.Do(x.Limiter.makeQueues)
	var wg sync.WaitGroup
	for _, queue := range x.Limiter.queues {
		w := &requestWorker{exchange: x, queue: queue}
		wg.Go(func() { w.run(ctx) })
	}
	s := &loanScheduler{exchange: x}
	for i := range s.queues {
		s.queues[i] = make(chan LoanRequest, loanQueueSize)
		w := &loanWorker{exchange: x, queue: s.queues[i]}
		wg.Go(func() { w.run(ctx) })
	}
	wg.Go(func() { s.run(ctx) })
	wg.Wait()
}

// send sends requests to one allocator and returns a response to each; nil if it did
// not respond to all of them.
func (x *Exchange) send(ctx context.Context, vm ffmember.VM, reqs []Request) []Response {
	message := &ffprotocol.AskRequest{}
	for _, req := range reqs {
		message.Asks = append(message.Asks, req.message())
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	resp, err := x.Peers.RequestLimits(ctx, vm, message)
	if err != nil || len(resp.GetAnswers()) != len(reqs) {
		return nil
	}
	resps := make([]Response, len(reqs))
	for i, m := range resp.GetAnswers() {
		resps[i] = parseResponse(reqs[i], m)
	}
	return resps
}
