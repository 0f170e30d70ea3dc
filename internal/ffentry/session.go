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

// session is one call with all its attempts.
type session struct {
	entry    *Entry
	contract *ffconfig.Contract
	call     *ffcall.Call
	attempts int
	tried    []string
	// unknown tells that an attempt may have run without an answer.
	unknown bool
}

// serve makes attempts until one is answered or no further one is allowed.
func (s *session) serve(ctx context.Context) (*ffcall.Reply, error) {
	for {
		reply, err := s.round(ctx)
		if err == nil {
			return reply, nil
		}
		s.unknown = s.unknown || ffcall.OutcomeOf(err) != ffcall.OutcomeNotRun
		d := s.entry.Retry.Decide(s.contract, s.call, err, s.attempts, time.Now())
		if d.Action != ffretry.ActionRetry || !waitUntil(ctx, d.At) {
			return nil, s.final(err)
		}
		if !d.Elsewhere {
			s.tried = nil
		}
	}
}

// round makes one attempt, and a hedged one where the route allows it.
func (s *session) round(ctx context.Context) (*ffcall.Reply, error) {
	vm, err := s.entry.choose(s.call.Route, s.tried)
	if err != nil {
		return nil, err
	}
	hedgeAt, ok := s.entry.Retry.HedgeAt(s.contract, s.call, time.Now())
	if !ok || s.entry.NoHedge {
		return s.attempt(ctx, s.next(vm), vm)
	}
	return s.race(ctx, vm, hedgeAt)
}

// next returns the call of the next attempt and notes its target as tried.
func (s *session) next(vm ffmember.VM) *ffcall.Call {
	s.attempts++
	s.tried = append(s.tried, vm.Name)
	c := *s.call
	c.ID = s.call.ID + "." + strconv.Itoa(s.attempts)
	return &c
}

// attempt runs one attempt and tells the chooser how it went.
func (s *session) attempt(ctx context.Context, c *ffcall.Call, vm ffmember.VM) (*ffcall.Reply, error) {
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

// final returns err with the outcome of the whole call: unknown when any of its
// attempts may have run.
func (s *session) final(err error) error {
	if !s.unknown {
		return err
	}
	return ffcall.Unproved(err)
}

// waitUntil waits until at and reports whether the call is still wanted.
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
