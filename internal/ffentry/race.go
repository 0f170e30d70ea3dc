package ffentry

import (
	"context"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/internal/ffmember"
)

// maxLegs is the number of attempts that may run side by side for one call.
const maxLegs = 2

// legResult is what one attempt of a race came to.
type legResult struct {
	reply *ffcall.Reply
	err   error
}

// leg is one attempt of a race.
type leg struct {
	session *session
	vm      ffmember.VM
	call    *ffcall.Call
	results chan<- legResult
}

// run makes the attempt and reports its result.
func (l *leg) run(ctx context.Context) {
	reply, err := l.session.attempt(ctx, l.call, l.vm)
	l.results <- legResult{reply: reply, err: err}
}

// race makes an attempt at vm and, when no answer has come by hedgeAt, a second
// one at another target. The first whole answer wins; the other is cancelled.
func (s *session) race(ctx context.Context, vm ffmember.VM, hedgeAt time.Time) (*ffcall.Reply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan legResult, maxLegs)
	running := 0
	start := func(vm ffmember.VM) {
		running++
		l := &leg{session: s, vm: vm, call: s.next(vm), results: results}
		go l.run(ctx)
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
			s.unknown = s.unknown || ffcall.OutcomeOf(r.err) != ffcall.OutcomeNotRun
		}
	}
}

// hedgeTarget returns another target for a hedged attempt that the budget allows.
func (s *session) hedgeTarget() (ffmember.VM, bool) {
	other, err := s.entry.choose(s.call.Route, s.tried)
	if err != nil || !s.entry.Retry.SpendHedge(s.contract, s.call, time.Now()) {
		return ffmember.VM{}, false
	}
	return other, true
}
