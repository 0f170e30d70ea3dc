package ffoutbound

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestPatientClientMakesOthersLate guards against a client that waits very long, or sends no
// timeout, and makes the requests of all others seem to be late repeats, which are refused
// first.
func TestPatientClientMakesOthersLate(t *testing.T) {
	const usual = 2 * time.Second
	for name, tc := range map[string]struct {
		// repeats is the number of times that each client asks again, and patientOneIn
		// one in how many requests comes from a patient client; 0 is none.
		repeats, patientOneIn int
	}{
		"first requests alone":   {0, 0},
		"each asks again thrice": {3, 0},
		"one patient client":     {0, 50},
		"both":                   {3, 50},
	} {
		var c clientTimeouts
		r := rand.New(rand.NewPCG(1, 2))
		for n := range 2000 {
			if tc.patientOneIn > 0 && n%tc.patientOneIn == 0 {
				if e := c.elapsed("r", defaultClientTimeout); e != 0 {
					t.Fatalf("%s: request %d: the patient client has used %v", name, n, e)
				}
			}
			first := c.elapsed("r", usual)
			if n > 10 && first != 0 {
				t.Fatalf("%s: request %d: %v of its time seem to be used", name, n, first)
			}
			for range tc.repeats {
				used := time.Duration(100+r.IntN(1500)) * time.Millisecond
				if got := c.elapsed("r", usual-used); n > 10 && got != used {
					t.Fatalf("%s: request %d: %v of its time is used, not %v", name, n, got, used)
				}
			}
		}
	}
}
