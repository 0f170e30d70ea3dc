package ffentry_test

import (
	"context"
	"crypto/rand"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/internal/ffentry"
	"fireflyfall.dev/fireflyfall/internal/fftoken"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// expectedTokenOutcome is the naive model of a call with a token: only a refusal by
// its gate proves that it did not run; a lost attempt does not.
func expectedTokenOutcome(attempts []*recordedAttempt) ffcall.Outcome {
	for _, x := range attempts {
		if x.reply != nil {
			return ffcall.OutcomeRan
		}
		e, ok := x.err.(*ffcall.Error)
		if ok && e.Outcome == ffcall.OutcomeNotRun && e.Kind != ffcall.KindNoResponse && (e.Load.VM != "" || isGateKind(e.Kind)) {
			return ffcall.OutcomeNotRun
		}
	}
	return ffcall.OutcomeUnknown
}

// isGateKind reports whether a refusal of this kind can only come from the gate.
func isGateKind(k ffcall.Kind) bool { return k != ffcall.KindUnreachable && k != ffcall.KindTruncated }

func mintToken(t testing.TB, vm string) string {
	t.Helper()
	issuer, err := fftoken.NewIssuer(vm, 1, time.Now(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	token, err := issuer.Mint(time.Now(), "crew", "deposit")
	if err != nil {
		t.Fatal(err)
	}
	return token
}

// TestOutcomeOfCallWithToken compares the outcome of calls with a token with the
// naive model, and checks that attempts are sent only to the VM of the token.
func TestOutcomeOfCallWithToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		token := mintToken(t, "vm-1")
		rapid.Check(noDeadline{t}, func(t *rapid.T) {
			g := &fakeGates{scripts: rapid.SliceOfN(rapid.Custom(drawScript), 0, 6).Draw(t, "script")}
			e := newEntry(g, ownVM, "vm-1", "vm-2")
			contract := &ffconfig.Contract{Customer: "crew", RetryPercent: 100}
			route := routeOf("deposit", false)
			call := &ffcall.Call{ID: "call", Customer: "crew", Route: route, Token: token, Deadline: time.Now().Add(callTimeout)}
			ctx, cancel := context.WithDeadline(context.Background(), call.Deadline.Add(callTimeout))
			defer cancel()
			_, err := e.Serve(ctx, &ffentry.Admission{Contract: contract, Route: route}, call)
			if got, want := reportedOutcome(err), expectedTokenOutcome(g.attempts); got != want {
				t.Fatalf("reported outcome %s, want %s by the attempts: %v", got, want, err)
			}
			for _, x := range g.attempts {
				if x.vm != "vm-1" || !x.start.Before(call.Deadline) {
					t.Fatalf("attempt at %s, %v before the deadline", x.vm, call.Deadline.Sub(x.start))
				}
			}
		})
	})
}

// TestTokenOfUnknownVM checks that the outcome is unknown when the VM of the token is
// not in the view, since the VM may have run the call.
func TestTokenOfUnknownVM(t *testing.T) {
	for name, token := range map[string]string{"gone": mintToken(t, "vm-9"), "malformed": "?"} {
		t.Run(name, func(t *testing.T) {
			g := &fakeGates{}
			call := &ffcall.Call{ID: "call", Route: routeOf("deposit", false), Token: token, Deadline: time.Now().Add(callTimeout)}
			a := &ffentry.Admission{Contract: &ffconfig.Contract{Customer: "crew"}}
			_, err := newEntry(g, ownVM).Serve(context.Background(), a, call)
			if ffcall.OutcomeOf(err) != ffcall.OutcomeUnknown || ffcall.KindOf(err) != ffcall.KindToken || len(g.attempts) > 0 {
				t.Fatalf("%v after %d attempts", err, len(g.attempts))
			}
		})
	}
}
