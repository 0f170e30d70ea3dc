package fflimit

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "fireflyfall.dev/fireflyfall/internal/ffseed" // fixes the seed

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// clockSpread is the greatest difference of a clock's speed from true time.
const clockSpread = 0.04

func contract(rate float64, burst, concurrency int) *ffconfig.Contract {
	return &ffconfig.Contract{Customer: "porter", RatePerSecond: rate, Burst: burst, Concurrency: concurrency}
}

// slack returns the calls that may pass beyond rate × time, as docs/LIMITS.md states it.
func (w *world) slack(restarts int) float64 {
	f := NewFleet("", "", w.vms, w.vms)
	all := f.cells(w.contract)
	calls := w.contract.RatePerSecond * (tokenTerm + potTerm).Seconds()
	for i := range all {
		dynamic, static := cellParts(w.contract, all, i)
		calls += max(dynamic.burst, dynamic.rate*bucketSeconds, 1) + max(static.burst, static.rate, 1)
	}
	return calls + float64(restarts)*(2+float64(w.contract.Burst)*staticShare/float64(len(f.centres)))
}

// outstanding returns the tokens that are out and may still be used.
func (w *world) outstanding() int {
	n := 0
	for _, d := range w.daemons {
		n += d.limiter.accountOf(w.contract.Customer).tokens.left(w.clock(d))
		for _, a := range d.limiter.allocator.allocations {
			n += a.borrowed.tokens(w.clock(d))
		}
	}
	return n
}

// checkRate compares the calls that passed with one token bucket.
func (w *world) checkRate(t *rapid.T, restarts int, allocators float64) {
	reference := bucket{at: time.Unix(0, 0)}
	depth := w.slack(restarts) * (1 + clockSpread)
	reference.level = depth
	rate := w.contract.RatePerSecond * (1 + clockSpread) * allocators
	for i, at := range w.admitted {
		reference.mint(rate, depth, time.Unix(0, 0).Add(at))
		if reference.take(1) == 0 {
			t.Fatalf("call %d at %s exceeds %.1f calls a second with a slack of %.1f", i, at, rate, depth)
		}
	}
}

// usable returns the permits that all daemons may use now.
func (w *world) usable() int {
	n := 0
	for _, d := range w.daemons {
		a := d.limiter.accountOf(w.contract.Customer)
		if a.contract != nil {
			n += a.permits(w.clock(d))
		}
	}
	return n
}

// drawWorld draws a fleet and what goes wrong, and boots it.
func drawWorld(t *rapid.T, c *ffconfig.Contract) *world {
	w := newWorld(c, rapid.IntRange(1, 3).Draw(t, "centres"), rapid.IntRange(1, 4).Draw(t, "daemons"), rapid.Uint64().Draw(t, "seed"))
	w.faults.loss = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss")
	w.faults.duplicate = rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "duplicate")
	w.faults.delay = rapid.SampledFrom([]time.Duration{0, 90 * time.Millisecond, 700 * time.Millisecond, 2 * time.Second}).Draw(t, "delay")
	w.giveUp = rapid.SampledFrom([]time.Duration{askTimeout, time.Minute}).Draw(t, "giveUp")
	for _, d := range w.daemons {
		d.offset = time.Duration(w.rand.Int64N(int64(time.Hour)))
		d.speed = 1 + clockSpread*(2*w.rand.Float64()-1)
		w.boot(d)
	}
	// A quiet spell ends the learning and fills every bucket.
	w.now += time.Hour
	drawCut(t, w)
	return w
}

// drawCut draws a set of daemons and a way in which they are cut off.
func drawCut(t *rapid.T, w *world) {
	side := rapid.Uint16().Draw(t, "side")
	oneWay := rapid.Bool().Draw(t, "oneWay")
	period := time.Duration(rapid.SampledFrom([]int{3, 12}).Draw(t, "cutSeconds")) * time.Second
	on := func(d *daemon) bool { return side>>(len(d.vm.Name)+int(d.vm.Name[len(d.vm.Name)-1]))%2 == 1 }
	w.faults.cut = func(from, to *daemon, now time.Duration) bool {
		return now/period%2 == 1 && (on(from) && !on(to) || !oneWay && on(to) && !on(from))
	}
}

// drive draws phases of load, pauses and restarts, and returns the number of restarts.
func (w *world) drive(t *rapid.T, demand float64, check func(restarts int)) int {
	restarts := 0
	started := make(map[*daemon]time.Duration)
	mayRestart := rapid.Bool().Draw(t, "mayRestart")
	w.check = func() { check(restarts) }
	for range rapid.IntRange(1, 12).Draw(t, "phases") {
		d := w.daemons[rapid.IntRange(0, len(w.daemons)-1).Draw(t, "daemon")]
		switch rapid.SampledFrom([]string{"none", "restart", "pause"}).Draw(t, "event") {
		case "restart":
			if mayRestart && w.now-started[d] > holdTerm {
				w.boot(d)
				restarts++
				started[d] = w.now
			}
		case "pause":
			d.pausedUntil = w.now + time.Duration(rapid.IntRange(100, 6000).Draw(t, "pauseMillis"))*time.Millisecond
		}
		hot := rapid.OneOf(rapid.Uint16(), rapid.SampledFrom([]uint16{1, 2, 4, 8, 16})).Draw(t, "hot")
		w.run(time.Duration(rapid.IntRange(100, 5000).Draw(t, "millis"))*time.Millisecond, func(i int) float64 {
			return 4 * demand * float64(hot>>i%2)
		})
	}
	w.run(2*time.Second, func(int) float64 { return 4 * demand })
	return restarts
}

func TestPermitsHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := contract(100_000, 100_000, rapid.IntRange(1, 60).Draw(t, "concurrency"))
		w := drawWorld(t, c)
		w.callTime = rapid.SampledFrom([]time.Duration{step, 300 * time.Millisecond, 4 * time.Second}).Draw(t, "callTime")
		w.drive(t, 20*float64(c.Concurrency), func(restarts int) {
			allowed := c.Concurrency
			if restarts == 0 {
				w.checkLedgers(t)
			} else {
				allowed += int(learningShare*float64(c.Concurrency)) + len(w.daemons)
			}
			if n := w.usable(); n > allowed {
				t.Fatalf("%d permits are usable at %s, the contract allows %d", n, w.now, allowed)
			}
		})
	})
}

func TestTokensHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := contract(rapid.Float64Range(0.5, 300).Draw(t, "rate"), rapid.IntRange(1, 200).Draw(t, "burst"), 100_000)
		w := drawWorld(t, c)
		restarts := w.drive(t, c.RatePerSecond, func(int) {
			if n, most := w.outstanding(), w.slack(0)*(1+2*clockSpread); float64(n) > most {
				t.Fatalf("%d tokens are usable at %s, at most %.1f may be", n, w.now, most)
			}
		})
		w.checkRate(t, restarts, 1)
	})
}

func TestHotDaemonGetsMostOfTheContract(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := contract(rapid.Float64Range(20, 500).Draw(t, "rate"), rapid.IntRange(1, 100).Draw(t, "burst"), 1000)
		w := newWorld(c, rapid.IntRange(1, 6).Draw(t, "centres"), rapid.IntRange(1, 4).Draw(t, "daemons"), 1)
		for _, d := range w.daemons {
			w.boot(d)
		}
		hot := rapid.IntRange(0, len(w.daemons)-1).Draw(t, "hot")
		load := func(i int) float64 {
			if i == hot {
				return 2 * c.RatePerSecond
			}
			return 0
		}
		w.run(2*time.Second, load)
		before := len(w.admitted)
		w.run(5*time.Second, load)
		got := float64(len(w.admitted)-before) / 5
		if got < 0.8*c.RatePerSecond {
			t.Fatalf("the daemon gets %.1f of %.1f calls a second", got, c.RatePerSecond)
		}
	})
}

func TestHotDaemonGetsMostPermits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := contract(100_000, 100_000, rapid.IntRange(6, 300).Draw(t, "concurrency"))
		w := newWorld(c, rapid.IntRange(1, 6).Draw(t, "centres"), rapid.IntRange(1, 4).Draw(t, "daemons"), 1)
		w.callTime = time.Second
		for _, d := range w.daemons {
			w.boot(d)
		}
		w.now += time.Hour
		hot := w.daemons[rapid.IntRange(0, len(w.daemons)-1).Draw(t, "hot")]
		w.run(5*time.Second, func(i int) float64 {
			if w.daemons[i] == hot {
				return 5 * float64(c.Concurrency)
			}
			return 0
		})
		a := hot.limiter.accountOf(c.Customer)
		if got := a.permits(w.clock(hot)); float64(got) < 0.75*float64(c.Concurrency) {
			t.Fatalf("the daemon may use %d of %d permits", got, c.Concurrency)
		}
	})
}

func TestQuietLoadWithinTheContractPasses(t *testing.T) {
	w := newWorld(contract(200, 50, 400), 3, 4, 1)
	for _, d := range w.daemons {
		w.boot(d)
	}
	w.now += time.Hour
	w.run(10*time.Second, func(int) float64 { return 0.8 * 200 / 12 })
	refused := 0
	for _, d := range w.daemons {
		refused += d.refused
	}
	if refused*100 > len(w.admitted) {
		t.Fatalf("%d calls were refused and %d passed, at 80%% of the contract", refused, len(w.admitted))
	}
}

func TestCarelessCustomerAtAllDaemonsIsHeld(t *testing.T) {
	w := newWorld(contract(100, 20, 50), 3, 30, 1)
	for _, d := range w.daemons {
		w.boot(d)
	}
	w.run(5*time.Second, func(int) float64 { return 100 })
	if got, most := len(w.admitted), 100*5+w.slack(0); float64(got) > most {
		t.Fatalf("%d calls passed in 5 s, at most %.0f may", got, most)
	}
	if got := len(w.admitted); got < 250 {
		t.Fatalf("only %d calls passed in 5 s, half of the contract is 250", got)
	}
}
