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
	// usualLatency is the latency of the attempts before the calls under test.
	usualLatency = 5 * time.Millisecond
	// usualCalls is the number of those attempts, enough to enable hedging.
	usualCalls = 100
	// callTimeout is the time from the start of a call to its deadline.
	callTimeout = time.Second
)

var failureKinds = []ffcall.Kind{
	ffcall.KindUnknown, ffcall.KindOverload, ffcall.KindDeadline, ffcall.KindLeaving, ffcall.KindNotReady,
	ffcall.KindUnreachable, ffcall.KindNoResponse, ffcall.KindTruncated, ffcall.KindMismatched, ffcall.KindToken, ffcall.KindVersion,
}

// drawScript draws a script whose error never claims notRun for an attempt that runs.
func drawScript(t *rapid.T) attemptScript {
	s := attemptScript{
		runs:  rapid.Bool().Draw(t, "runs"),
		delay: time.Duration(rapid.SampledFrom([]int{0, 0, 1, 20, 400, 998, 1200}).Draw(t, "delay")) * time.Millisecond,
	}
	if s.runs && rapid.Bool().Draw(t, "answered") {
		return s
	}
	s.err = &ffcall.Error{Op: "fake", Kind: rapid.SampledFrom(failureKinds).Draw(t, "kind"), Err: merry.New("refused")}
	if !s.runs && rapid.Bool().Draw(t, "proved") {
		s.err.Outcome = ffcall.OutcomeNotRun
	}
	if rapid.Bool().Draw(t, "fromGate") {
		s.err.Load.VM = ownVM
	}
	return s
}

// expectedOutcome is the naive model of the outcome of a call after all its attempts.
func expectedOutcome(attempts []*recordedAttempt) ffcall.Outcome {
	outcome := ffcall.OutcomeNotRun
	for _, t := range attempts {
		if t.reply != nil {
			return ffcall.OutcomeRan
		}
		if ffcall.OutcomeOf(t.err) != ffcall.OutcomeNotRun {
			outcome = ffcall.OutcomeUnknown
		}
	}
	return outcome
}

// reportedOutcome returns the outcome that Serve reported with err.
func reportedOutcome(err error) ffcall.Outcome {
	if err == nil {
		return ffcall.OutcomeRan
	}
	return ffcall.OutcomeOf(err)
}

// checkCall compares the reported result of a call with its attempts.
func checkCall(t *rapid.T, g *fakeGates, call *ffcall.Call, reply *ffcall.Reply, err error) {
	if got, want := reportedOutcome(err), expectedOutcome(g.attempts); got != want {
		t.Fatalf("reported outcome %s, want %s by the attempts: %v", got, want, err)
	}
	if reportedOutcome(err) == ffcall.OutcomeNotRun && g.runCount() > 0 {
		t.Fatalf("%d runs of a call that was refused as not run", g.runCount())
	}
	ids := make(map[string]bool)
	for _, x := range g.attempts {
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

// checkAtMostOneRun checks that a call ran at most once, and that no attempt followed
// one that may have run.
func checkAtMostOneRun(t *rapid.T, g *fakeGates) {
	if g.runCount() > 1 {
		t.Fatalf("a call that is not idempotent ran %d times", g.runCount())
	}
	for i, x := range g.attempts[:max(0, len(g.attempts)-1)] {
		if ffcall.OutcomeOf(x.err) != ffcall.OutcomeNotRun {
			t.Fatalf("attempt %d may have run and another followed", i+1)
		}
	}
}

// TestOutcomeOfCall compares the reported outcome with the naive model while attempts
// are refused, lost, answered late, hedged and retried.
func TestOutcomeOfCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadline{t}, func(t *rapid.T) {
			g := &fakeGates{scripts: rapid.SliceOfN(rapid.Custom(drawScript), 0, 6).Draw(t, "script")}
			e := newEntry(g, ownVM, "vm-1", "vm-2", "vm-3")
			contract := &ffconfig.Contract{Customer: "appraisers", RetryPercent: 100, HedgePercent: 100}
			route := routeOf("lookup", rapid.Bool().Draw(t, "idempotent"))
			for range usualCalls {
				e.Retry.RecordCall(contract)
				e.Retry.Observe(route.Name, usualLatency, time.Now())
			}
			call := &ffcall.Call{ID: "call", Customer: contract.Customer, Route: route, Deadline: time.Now().Add(callTimeout)}
			ctx, cancel := context.WithDeadline(context.Background(), call.Deadline.Add(callTimeout))
			defer cancel()
			reply, err := e.Serve(ctx, &ffentry.Admission{Contract: contract, Route: route}, call)
			synctest.Wait()
			checkCall(t, g, call, reply, err)
			if !route.Idempotent {
				checkAtMostOneRun(t, g)
			}
		})
	})
}
