package ffcaller

import (
	"testing"

	"pgregory.net/rapid"

	_ "fireflyfall.dev/fireflyfall/internal/ffseed" // fixes the seed

	"fireflyfall.dev/fireflyfall/internal/ffcall"
)

// heldBody is what one call holds of the memory.
type heldBody struct {
	customer string
	bytes    int64
}

// TestBodyMemory compares the memory with a naive list of what is held: neither
// the whole nor a customer's part is exceeded, nothing that fits is refused.
func TestBodyMemory(t *testing.T) {
	const limit = 100
	rapid.Check(t, func(t *rapid.T) {
		m := bodyMemory{limit: limit}
		var held []heldBody
		sum := func(customer string) int64 {
			var n int64
			for _, h := range held {
				if customer == "" || h.customer == customer {
					n += h.bytes
				}
			}
			return n
		}
		t.Repeat(map[string]func(*rapid.T){
			"take": func(t *rapid.T) {
				h := heldBody{customer: rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "customer"), bytes: rapid.Int64Range(0, limit/3).Draw(t, "bytes")}
				fits := sum("")+h.bytes <= limit && sum(h.customer)+h.bytes <= limit/customerBodyPart
				err := m.take(h.customer, h.bytes)
				if (err == nil) != fits || err != nil && ffcall.OutcomeOf(err) != ffcall.OutcomeNotRun {
					t.Fatalf("%+v beside %+v: %v", h, held, err)
				}
				if err == nil {
					held = append(held, h)
				}
			},
			"give": func(t *rapid.T) {
				if len(held) == 0 {
					return
				}
				i := rapid.IntRange(0, len(held)-1).Draw(t, "index")
				m.give(held[i].customer, held[i].bytes)
				held = append(held[:i], held[i+1:]...)
			},
		})
	})
}
