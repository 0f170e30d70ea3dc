package ffcaller

import (
	"testing"

	"pgregory.net/rapid"

	_ "fireflyfall.dev/fireflyfall/internal/ffseed" // fixes the seed

	"fireflyfall.dev/fireflyfall/internal/ffcall"
)

// reservation is the body memory that one call has reserved.
type reservation struct {
	customer string
	bytes    int64
}

// TestBodyMemory compares bodyMemory with a plain list of reservations: neither the
// total limit nor that of a customer is exceeded, and nothing that fits is refused.
func TestBodyMemory(t *testing.T) {
	const limit = 100
	rapid.Check(t, func(t *rapid.T) {
		m := bodyMemory{limit: limit}
		var reservations []reservation
		sum := func(customer string) int64 {
			var n int64
			for _, h := range reservations {
				if customer == "" || h.customer == customer {
					n += h.bytes
				}
			}
			return n
		}
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				r := reservation{customer: rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "customer"), bytes: rapid.Int64Range(0, limit/3).Draw(t, "bytes")}
				fits := sum("")+r.bytes <= limit && sum(r.customer)+r.bytes <= limit/customerBodyDivisor
				err := m.reserve(r.customer, r.bytes)
				if (err == nil) != fits || err != nil && ffcall.OutcomeOf(err) != ffcall.OutcomeNotRun {
					t.Fatalf("reserve %+v with reservations %+v: %v", r, reservations, err)
				}
				if err == nil {
					reservations = append(reservations, r)
				}
			},
			"release": func(t *rapid.T) {
				if len(reservations) == 0 {
					return
				}
				i := rapid.IntRange(0, len(reservations)-1).Draw(t, "index")
				m.release(reservations[i].customer, reservations[i].bytes)
				reservations = append(reservations[:i], reservations[i+1:]...)
			},
		})
	})
}
