package ffentry_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ansel1/merry/v2"
	"pgregory.net/rapid"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/internal/ffentry"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

const (
	// usualLatency is what attempts took before the calls under test.
	usualLatency = 5 * time.Millisecond
	// usualCalls is the number of those attempts, enough to hedge after them.
	usualCalls = 100
	// callTimeout is the time from a call to its deadline.
	callTimeout = time.Second
)

var refusals = []ffcall.Kind{
	ffcall.KindUnknown, ffcall.KindOverload, ffcall.KindDeadline, ffcall.KindLeaving, ffcall.KindNotReady,
	ffcall.KindUnreachable, ffcall.KindSilent, ffcall.KindTruncated, ffcall.KindCrossed, ffcall.KindToken, ffcall.KindVersion,
}

// drawBehaviour returns a behaviour that tells the truth about itself.
func drawBehaviour(t *rapid.T) behaviour {
	b := behaviour{
		runs:  rapid.Bool().Draw(t, "runs"),
		delay: time.Duration(rapid.SampledFrom([]int{0, 0, 1, 20, 400, 998, 1200}).Draw(t, "delay")) * time.Millisecond,
	}
	if b.runs && rapid.Bool().Draw(t, "answered") {
		return b
	}
	b.err = &ffcall.Error{Op: "fake", Kind: rapid.SampledFrom(refusals).Draw(t, "kind"), Err: merry.New("refused")}
	if !b.runs && rapid.Bool().Draw(t, "proved") {
		b.err.Outcome = ffcall.OutcomeNotRun
	}
	if rapid.Bool().Draw(t, "fromGate") {
		b.err.Load.VM = own
	}
	return b
}

// claimOf is the naive model: what may be said of a call after all its attempts.
func claimOf(trials []*trial) ffcall.Outcome {
	claim := ffcall.OutcomeNotRun
	for _, t := range trials {
		if t.reply != nil {
			return ffcall.OutcomeRan
		}
		if ffcall.OutcomeOf(t.err) != ffcall.OutcomeNotRun {
			claim = ffcall.OutcomeUnknown
		}
	}
	return claim
}

// claimed returns what the entry said of a call.
func claimed(err error) ffcall.Outcome {
	if err == nil {
		return ffcall.OutcomeRan
	}
	return ffcall.OutcomeOf(err)
}

// checkCall compares what the entry said of a call with the attempts that it made.
func checkCall(t *rapid.T, w *world, call *ffcall.Call, reply *ffcall.Reply, err error) {
	if got, want := claimed(err), claimOf(w.trials); got != want {
		t.Fatalf("the entry said %s, the attempts make it %s: %v", got, want, err)
	}
	if claimed(err) == ffcall.OutcomeNotRun && w.runs() > 0 {
		t.Fatalf("%d runs of a call that was refused as not run", w.runs())
	}
	ids := make(map[string]bool)
	for _, x := range w.trials {
		if ids[x.call.ID] {
			t.Fatalf("two attempts have the ID %s", x.call.ID)
		}
		ids[x.call.ID] = true
		if !x.start.Before(call.Deadline) {
			t.Fatalf("attempt %s began %v after the deadline", x.call.ID, x.start.Sub(call.Deadline))
		}
	}
	if err == nil && !ids[string(reply.Body)] {
		t.Fatalf("the answer %q belongs to no attempt of the call", reply.Body)
	}
}

// checkOnce holds for calls that must not run twice.
func checkOnce(t *rapid.T, w *world) {
	if w.runs() > 1 {
		t.Fatalf("a call that is not idempotent ran %d times", w.runs())
	}
	for i, x := range w.trials[:max(0, len(w.trials)-1)] {
		if ffcall.OutcomeOf(x.err) != ffcall.OutcomeNotRun {
			t.Fatalf("attempt %d may have run and another followed", i+1)
		}
	}
}

// TestOutcomeOfSession compares the entry with a naive model of outcomes while
// attempts are refused, lost, answered late, hedged and retried.
func TestOutcomeOfSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadline{t}, func(t *rapid.T) {
			w := &world{script: rapid.SliceOfN(rapid.Custom(drawBehaviour), 0, 6).Draw(t, "script")}
			e := newEntry(w, own, "vm-1", "vm-2", "vm-3")
			contract := &ffconfig.Contract{Customer: "appraisers", RetryPercent: 100, HedgePercent: 100}
			route := routeOf("lookup", rapid.Bool().Draw(t, "idempotent"))
			for range usualCalls {
				e.Retry.Called(contract)
				e.Retry.Observe(route.Name, usualLatency, time.Now())
			}
			call := &ffcall.Call{ID: "call", Customer: contract.Customer, Route: route, Deadline: time.Now().Add(callTimeout)}
			ctx, cancel := context.WithDeadline(context.Background(), call.Deadline.Add(callTimeout))
			defer cancel()
			reply, err := e.Serve(ctx, &ffentry.Admission{Contract: contract, Route: route}, call)
			synctest.Wait()
			checkCall(t, w, call, reply, err)
			if !route.Idempotent {
				checkOnce(t, w)
			}
		})
	})
}
