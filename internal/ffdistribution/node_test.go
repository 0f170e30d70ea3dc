package ffdistribution_test

import (
	"testing"
	"time"
)

// convergence is the time within which an accepted version is in force everywhere.
const convergence = 5 * time.Second

func TestVersionReachesEveryDaemon(t *testing.T) {
	inFleet(t, 3, 20, func(t *testing.T, f *fleet) {
		f.platform.serve(newRelease(1, "a", false))
		f.startAll()
		f.requireInForce(t, newRelease(1, "a", false).version, 10*time.Second)
		for number := uint64(2); number < 5; number++ {
			r := newRelease(number, "a", false)
			f.platform.serve(r)
			f.requireInForce(t, r.version, convergence)
		}
	})
}
