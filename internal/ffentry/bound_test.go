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

// boundClaim is the naive model of a call with a token: only its gate can say
// that it did not run, and that the attempt never came is no such word.
func boundClaim(trials []*trial) ffcall.Outcome {
	for _, x := range trials {
		if x.reply != nil {
			return ffcall.OutcomeRan
		}
		e, ok := x.err.(*ffcall.Error)
		if ok && e.Outcome == ffcall.OutcomeNotRun && e.Kind != ffcall.KindSilent && (e.Load.VM != "" || gateKind(e.Kind)) {
			return ffcall.OutcomeNotRun
		}
	}
	return ffcall.OutcomeUnknown
}

// gateKind reports whether a refusal of this kind can only come from the gate.
func gateKind(k ffcall.Kind) bool { return k != ffcall.KindUnreachable && k != ffcall.KindTruncated }

func mintAt(t testing.TB, vm string) string {
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

// TestOutcomeOfBoundCall compares calls with a token with the naive model, and
// checks that no other VM than the one of the token is ever asked.
func TestOutcomeOfBoundCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		token := mintAt(t, "vm-1")
		rapid.Check(noDeadline{t}, func(t *rapid.T) {
			w := &world{script: rapid.SliceOfN(rapid.Custom(drawBehaviour), 0, 6).Draw(t, "script")}
			e := newEntry(w, own, "vm-1", "vm-2")
			contract := &ffconfig.Contract{Customer: "crew", RetryPercent: 100}
			route := routeOf("deposit", false)
			call := &ffcall.Call{ID: "call", Customer: "crew", Route: route, Token: token, Deadline: time.Now().Add(callTimeout)}
			ctx, cancel := context.WithDeadline(context.Background(), call.Deadline.Add(callTimeout))
			defer cancel()
			_, err := e.Serve(ctx, &ffentry.Admission{Contract: contract, Route: route}, call)
			if got, want := claimed(err), boundClaim(w.trials); got != want {
				t.Fatalf("the entry said %s, the attempts make it %s: %v", got, want, err)
			}
			for _, x := range w.trials {
				if x.vm != "vm-1" || !x.start.Before(call.Deadline) {
					t.Fatalf("attempt at %s, %v before the deadline", x.vm, call.Deadline.Sub(x.start))
				}
			}
		})
	})
}

// TestTokenOfUnknownVM: a view that lacks the VM proves nothing of what it ran.
func TestTokenOfUnknownVM(t *testing.T) {
	for name, token := range map[string]string{"gone": mintAt(t, "vm-9"), "malformed": "?"} {
		t.Run(name, func(t *testing.T) {
			w := &world{}
			call := &ffcall.Call{ID: "call", Route: routeOf("deposit", false), Token: token, Deadline: time.Now().Add(callTimeout)}
			a := &ffentry.Admission{Contract: &ffconfig.Contract{Customer: "crew"}}
			_, err := newEntry(w, own).Serve(context.Background(), a, call)
			if ffcall.OutcomeOf(err) != ffcall.OutcomeUnknown || ffcall.KindOf(err) != ffcall.KindToken || len(w.trials) > 0 {
				t.Fatalf("%v after %d attempts", err, len(w.trials))
			}
		})
	}
}
