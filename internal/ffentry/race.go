package ffentry

import (
	"context"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/internal/ffmember"
)

// maxParallelAttempts is the maximum number of concurrent attempts of one call.
const maxParallelAttempts = 2

// attemptResult is the result of a parallelAttempt.
type attemptResult struct {
	reply *ffcall.Reply
	err   error
}

// parallelAttempt is one of the concurrent attempts of a call.
type parallelAttempt struct {
	dispatch *dispatch
	vm       ffmember.VM
	call     *ffcall.Call
	results  chan<- attemptResult
}

// run executes the attempt and sends its result.
func (p *parallelAttempt) run(ctx context.Context) {
	reply, err := p.dispatch.attempt(ctx, p.call, p.vm)
	p.results <- attemptResult{reply: reply, err: err}
}

// attemptHedged starts an attempt at vm and, if no answer has been received by
// hedgeAt, a second one at another target. It returns the first complete answer and
// cancels the other attempt.
func (s *dispatch) attemptHedged(ctx context.Context, vm ffmember.VM, hedgeAt time.Time) (*ffcall.Reply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan attemptResult, maxParallelAttempts)
	running := 0
	start := func(vm ffmember.VM) {
		running++
		p := &parallelAttempt{dispatch: s, vm: vm, call: s.nextAttempt(vm), results: results}
		go p.run(ctx)
	}
	start(vm)
	hedge := time.NewTimer(time.Until(hedgeAt))
	defer hedge.Stop()
	for {
		select {
		case <-hedge.C:
			if other, ok := s.hedgeTarget(); ok {
				start(other)
			}
		case r := <-results:
			running--
			if r.err == nil || running == 0 {
				return r.reply, r.err
			}
			s.mayHaveRun = s.mayHaveRun || ffcall.OutcomeOf(r.err) != ffcall.OutcomeNotRun
		}
	}
}

// hedgeTarget returns a target for the hedged attempt. It returns false when there is
// none, or when the hedge budget or the deadline does not allow it.
func (s *dispatch) hedgeTarget() (ffmember.VM, bool) {
	other, err := s.entry.choose(s.call.Route, s.tried)
	if err != nil || !s.entry.Retry.TryHedge(s.contract, s.call, time.Now()) {
		return ffmember.VM{}, false
	}
	return other, true
}
