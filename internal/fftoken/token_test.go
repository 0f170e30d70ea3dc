package fftoken_test

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	_ "fireflyfall.dev/fireflyfall/internal/ffseed" // fixes the seed

	"fireflyfall.dev/fireflyfall/internal/fftoken"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var started = time.Unix(1_000_000, 0)

func newIssuer(t interface{ Fatal(...any) }, vm string, incarnation uint64, seed byte) *fftoken.Issuer {
	i, err := fftoken.NewIssuer(vm, incarnation, started, rand.NewChaCha8([32]byte{seed}))
	if err != nil {
		t.Fatal(err)
	}
	return i
}

func kindOf(err error) fftoken.Kind {
	var e *fftoken.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return fftoken.KindUnknown
}

// TestOnlyTheMintingGateAccepts verifies a token at random gates and times, for
// random customers and routes, and checks the kind of the error.
func TestOnlyTheMintingGateAccepts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.SampledFrom([]string{"a", "b"})
		vm, customer, route := name.Draw(t, "vm"), name.Draw(t, "customer"), name.Draw(t, "route")
		token, err := newIssuer(t, vm, 7, 1).Mint(started, customer, route)
		if err != nil {
			t.Fatal(err)
		}
		if c, err := fftoken.Parse(token); err != nil || c.VM != vm || c.Incarnation != 7 {
			t.Fatalf("Parse returned %+v, %v", c, err)
		}
		atVM, atCustomer, atRoute := name.Draw(t, "atVM"), name.Draw(t, "atCustomer"), name.Draw(t, "atRoute")
		atIncarnation := rapid.Uint64Range(6, 7).Draw(t, "atIncarnation")
		seed := byte(rapid.IntRange(1, 2).Draw(t, "seed"))
		now := started.Add(time.Duration(rapid.Int64Range(0, int64(2*fftoken.Lifetime)).Draw(t, "now")))
		_, err = newIssuer(t, atVM, atIncarnation, seed).Verify(now, token, atCustomer, atRoute)
		want := fftoken.KindUnknown
		switch {
		case atVM != vm || atIncarnation != 7:
			want = fftoken.KindOtherGate
		case seed != 1:
			want = fftoken.KindForged
		case atCustomer != customer || atRoute != route:
			want = fftoken.KindMismatch
		case now.Sub(started) >= fftoken.Lifetime:
			want = fftoken.KindExpired
		}
		if kindOf(err) != want {
			t.Fatalf("Verify returned %v, want kind %v", err, want)
		}
	})
}

func FuzzTokenIsNotForged(f *testing.F) {
	i := newIssuer(f, "vm", 7, 1)
	token, err := i.Mint(started, "customer", "route")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(token)
	f.Add("")
	f.Fuzz(func(t *testing.T, s string) {
		if _, err := i.Verify(started, s, "customer", "route"); (err == nil) != (s == token) {
			t.Fatalf("Verify(%q) returned %v", s, err)
		}
	})
}

func BenchmarkMintVerify(b *testing.B) {
	i := newIssuer(b, "vm", 7, 1)
	for b.Loop() {
		token, err := i.Mint(started, "customer", "route")
		if err != nil {
			b.Fatal(err)
		}
		if _, err := i.Verify(started, token, "customer", "route"); err != nil {
			b.Fatal(err)
		}
	}
}
