package ffretry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "fireflyfall.dev/fireflyfall/internal/ffseed" // fixes the seed

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/internal/ffretry"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func drawCall(t *rapid.T) *ffcall.Call {
	class := rapid.SampledFrom([]ffconfig.Class{ffconfig.ClassShort, ffconfig.ClassLong}).Draw(t, "class")
	return &ffcall.Call{
		Route:    &ffconfig.Route{Name: "lookup", Idempotent: rapid.Bool().Draw(t, "idempotent"), Class: class},
		Deadline: epoch.Add(time.Duration(rapid.IntRange(-5, 30).Draw(t, "deadlineMillis")) * time.Millisecond),
	}
}

func drawError(t *rapid.T) *ffcall.Error {
	kinds := rapid.OneOf(rapid.IntRange(0, int(ffcall.KindCancelled)), rapid.Just(int(ffcall.KindOverload)))
	return &ffcall.Error{
		Kind:    ffcall.Kind(kinds.Draw(t, "kind")),
		Outcome: ffcall.Outcome(rapid.IntRange(0, int(ffcall.OutcomeNotRun)).Draw(t, "outcome")),
		RetryAt: epoch.Add(time.Duration(rapid.IntRange(-100, 1000).Draw(t, "retryAtMillis")) * time.Millisecond),
	}
}

// freeRetryKinds are the errors of an unavailable VM. Retries after them are not
// charged to the budget if the call did not run.
var freeRetryKinds = map[ffcall.Kind]bool{
	ffcall.KindLeaving:     true,
	ffcall.KindNotReady:    true,
	ffcall.KindUnreachable: true,
	ffcall.KindVersion:     true,
}

func TestRetryAfterRefusalByUnavailableVMNeedsNoBudget(t *testing.T) {
	p := &ffretry.Policy{}
	c := &ffconfig.Contract{Customer: "porter"}
	call := &ffcall.Call{Route: &ffconfig.Route{}, Deadline: epoch.Add(time.Second)}
	for kind := range freeRetryKinds {
		for range 3 {
			if d := p.Decide(c, call, ffcall.Refuse("forward", kind, nil), 1, epoch); d.Action != ffretry.ActionRetry {
				t.Fatalf("%+v after %s", d, kind)
			}
		}
		err := &ffcall.Error{Kind: kind}
		call := &ffcall.Call{Route: &ffconfig.Route{Idempotent: true}, Deadline: epoch.Add(time.Second)}
		if d := p.Decide(c, call, err, 1, epoch); d.Action == ffretry.ActionRetry {
			t.Fatalf("%+v after %s with unknown outcome and no budget", d, kind)
		}
	}
}

func TestDecisionNeverAllowsDuplicateExecution(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &ffretry.Policy{Rand: rand.New(rand.NewPCG(1, 2)).Float64}
		c := &ffconfig.Contract{Customer: "porter", RetryPercent: rapid.IntRange(0, 100).Draw(t, "retryPercent")}
		call, err := drawCall(t), drawError(t)
		attempt := rapid.IntRange(1, 6).Draw(t, "attempt")
		d := p.Decide(c, call, err, attempt, epoch)
		switch {
		case d.Action == ffretry.ActionGiveUp:
		case !epoch.Before(call.Deadline) || !d.NotBefore.Before(call.Deadline) || d.NotBefore.Before(epoch):
			t.Fatalf("%+v starts in the past or after the deadline", d)
		case err.Outcome == ffcall.OutcomeRan:
			t.Fatalf("%+v after the call ran", d)
		case d.Action == ffretry.ActionAskOutcome:
			if call.Route.Idempotent || err.Outcome != ffcall.OutcomeUnknown {
				t.Fatalf("%+v although the outcome need not be asked for", d)
			}
		case !call.Route.Idempotent && err.Outcome != ffcall.OutcomeNotRun:
			t.Fatalf("%+v may run a call twice", d)
		case err.Kind == ffcall.KindLimit || attempt >= 4:
			t.Fatalf("%+v is not allowed", d)
		case c.RetryPercent == 0 && !(freeRetryKinds[err.Kind] && err.Outcome == ffcall.OutcomeNotRun):
			t.Fatalf("%+v is not allowed", d)
		case err.Kind == ffcall.KindOverload && (attempt >= 2 || !d.OtherTarget):
			t.Fatalf("%+v adds load to an overloaded target", d)
		}
	})
}

func TestRetriesStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b ffretry.Budget
		percentage := rapid.IntRange(1, 100).Draw(t, "perCent")
		now, calls, spent := epoch, 0, 0
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "millis")) * time.Millisecond)
			b.Deposit(percentage)
			calls++
			for range rapid.IntRange(0, 3).Draw(t, "failures") {
				if b.TryWithdraw(percentage, now) {
					spent++
				}
			}
		}
		freeAttempts := 1 + now.Sub(epoch).Seconds()/10
		if limit := float64(calls*percentage)/100 + freeAttempts + 1e-6; float64(spent) > limit {
			t.Fatalf("%d extra attempts for %d calls, at most %.2f", spent, calls, limit)
		}
	})
}

func TestCustomerWithFewCallsMayRetryFirstFailure(t *testing.T) {
	p := &ffretry.Policy{}
	c := &ffconfig.Contract{Customer: "porter", RetryPercent: 1}
	call := &ffcall.Call{Route: &ffconfig.Route{Idempotent: true}, Deadline: epoch.Add(time.Second)}
	err := ffcall.Refuse("forward", ffcall.KindOverload, nil)
	p.RecordCall(c)
	if d := p.Decide(c, call, err, 1, epoch); d.Action != ffretry.ActionRetry || !d.OtherTarget {
		t.Fatalf("%+v after a first failure", d)
	}
	if d := p.Decide(c, call, err, 1, epoch); d.Reason != ffretry.ReasonBudget {
		t.Fatalf("%+v when the budget is used up", d)
	}
}

func TestHedgeWaitsForAHighPercentileOfRecentLatencies(t *testing.T) {
	p := &ffretry.Policy{}
	c := &ffconfig.Contract{Customer: "appraiser", HedgePercent: 5}
	call := &ffcall.Call{Route: &ffconfig.Route{Name: "lookup", Idempotent: true}, Deadline: epoch.Add(time.Hour)}
	if _, ok := p.HedgeAt(c, call, epoch); ok {
		t.Fatal("hedge allowed before any latency is known")
	}
	observe := func(now time.Time, slow time.Duration) {
		for i := range 1000 {
			latency := 10 * time.Millisecond
			if i%2 == 0 {
				latency = slow
			}
			p.Observe("lookup", latency, now)
		}
	}
	check := func(now time.Time, low, high time.Duration) {
		t.Helper()
		at, ok := p.HedgeAt(c, call, now)
		if delay := at.Sub(now); !ok || delay < low || delay > high {
			t.Fatalf("hedge delay %s, want %s to %s", delay, low, high)
		}
	}
	observe(epoch, 100*time.Millisecond)
	observe(epoch.Add(11*time.Second), 100*time.Millisecond)
	check(epoch, 90*time.Millisecond, 110*time.Millisecond)
	for i := range 4 {
		observe(epoch.Add(time.Duration(20+11*i)*time.Second), 20*time.Millisecond)
	}
	check(epoch, 18*time.Millisecond, 22*time.Millisecond)
	call.Route.Idempotent = false
	if _, ok := p.HedgeAt(c, call, epoch); ok {
		t.Fatal("hedge allowed for a call that is not idempotent")
	}
}
