package ffentry

import (
	"context"
	"strconv"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffbalance"
	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffretry"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// dispatch is the state of one call and its attempts.
type dispatch struct {
	entry    *Entry
	contract *ffconfig.Contract
	call     *ffcall.Call
	attempts int
	tried    []string
	// mayHaveRun is set when an attempt without an answer may have run.
	mayHaveRun bool
}

// serve makes attempts until one is answered or no further attempt is allowed.
func (s *dispatch) serve(ctx context.Context) (*ffcall.Reply, error) {
	for {
		reply, err := s.round(ctx)
		if err == nil {
			return reply, nil
		}
		s.mayHaveRun = s.mayHaveRun || ffcall.OutcomeOf(err) != ffcall.OutcomeNotRun
		d := s.entry.Retry.Decide(s.contract, s.call, err, s.attempts, time.Now())
		if d.Action != ffretry.ActionRetry || !waitUntil(ctx, d.NotBefore) {
			return nil, s.finalError(err)
		}
		if !d.OtherTarget {
			s.tried = nil
		}
	}
}

// round makes one attempt, and a hedged one where the route allows it.
func (s *dispatch) round(ctx context.Context) (*ffcall.Reply, error) {
	vm, err := s.entry.choose(s.call.Route, s.tried)
	if err != nil {
		return nil, err
	}
	hedgeAt, ok := s.entry.Retry.HedgeAt(s.contract, s.call, time.Now())
	if !ok || s.entry.NoHedging {
		return s.attempt(ctx, s.nextAttempt(vm), vm)
	}
	return s.attemptHedged(ctx, vm, hedgeAt)
}

// nextAttempt returns the call of the next attempt and adds vm to the tried targets.
func (s *dispatch) nextAttempt(vm ffmember.VM) *ffcall.Call {
	s.attempts++
	s.tried = append(s.tried, vm.Name)
	c := *s.call
	c.ID = s.call.ID + "." + strconv.Itoa(s.attempts)
	return &c
}

// attempt executes one attempt, and reports its result to the chooser and its latency
// to the retry policy.
func (s *dispatch) attempt(ctx context.Context, c *ffcall.Call, vm ffmember.VM) (*ffcall.Reply, error) {
	start := time.Now()
	s.entry.Chooser.Started(vm.Name, c.Route.Class, start)
	reply, err := s.entry.do(ctx, vm, c)
	now := time.Now()
	s.entry.Chooser.Finished(vm.Name, now, ffbalance.ResultOf(c.Route.Class, now.Sub(start), reply, err))
	if err == nil {
		s.entry.Retry.Observe(c.Route.Name, now.Sub(start), now)
	}
	return reply, err
}

// finalError returns err with the outcome of the whole call, which is unknown when
// any of its attempts may have run.
func (s *dispatch) finalError(err error) error {
	if !s.mayHaveRun {
		return err
	}
	return ffcall.WithOutcomeUnknown(err)
}

// waitUntil waits until at; it returns false when ctx ends before.
func waitUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
