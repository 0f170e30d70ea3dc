package fflimit

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "fireflyfall.dev/fireflyfall/internal/ffseed" // fixes the seed

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// maxClockDrift is the maximum relative deviation of a clock's speed.
const maxClockDrift = 0.04

func contract(rate float64, burst, concurrency int) *ffconfig.Contract {
	return &ffconfig.Contract{Customer: "porter", RatePerSecond: rate, Burst: burst, Concurrency: concurrency}
}

// rateSlack returns the number of calls that may be admitted beyond rate × time, as
// stated in docs/LIMITS.md.
func (s *simulation) rateSlack(restarts int) float64 {
	f := NewFleet("", "", s.vms, s.vms)
	cells := f.cells(s.contract)
	calls := s.contract.RatePerSecond * (tokenTerm + borrowedTokenTerm).Seconds()
	for i := range cells {
		dynamic, static := cellQuotas(s.contract, cells, i)
		calls += max(dynamic.burst, dynamic.rate*bucketSeconds, 1) + max(static.burst, static.rate, 1)
	}
	return calls + float64(restarts)*(2+float64(s.contract.Burst)*staticShare/float64(len(f.dataCentres)))
}

// outstandingTokens returns the number of granted and borrowed tokens that may still
// be used.
func (s *simulation) outstandingTokens() int {
	n := 0
	for _, d := range s.daemons {
		n += d.limiter.accountFor(s.contract.Customer).tokens.usable(s.clock(d))
		for _, a := range d.limiter.allocator.allocations {
			n += a.borrowed.tokens(s.clock(d))
		}
	}
	return n
}

// checkRate checks the admitted calls against a single token bucket.
func (s *simulation) checkRate(t *rapid.T, restarts int, allocators float64) {
	reference := bucket{updatedAt: time.Unix(0, 0)}
	depth := s.rateSlack(restarts) * (1 + maxClockDrift)
	reference.level = depth
	rate := s.contract.RatePerSecond * (1 + maxClockDrift) * allocators
	for i, at := range s.admitted {
		reference.refill(rate, depth, time.Unix(0, 0).Add(at))
		if reference.take(1) == 0 {
			t.Fatalf("call %d at %s exceeds %.1f calls per second with a slack of %.1f", i, at, rate, depth)
		}
	}
}

// usablePermits returns the number of permits that all daemons together may use now.
func (s *simulation) usablePermits() int {
	n := 0
	for _, d := range s.daemons {
		a := d.limiter.accountFor(s.contract.Customer)
		if a.contract != nil {
			n += a.permits(s.clock(d))
		}
	}
	return n
}

// drawSimulation draws a fleet and its faults, and starts the daemons.
func drawSimulation(t *rapid.T, c *ffconfig.Contract) *simulation {
	s := newSimulation(c, rapid.IntRange(1, 3).Draw(t, "centres"), rapid.IntRange(1, 4).Draw(t, "daemons"), rapid.Uint64().Draw(t, "seed"))
	s.faults.loss = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss")
	s.faults.duplicate = rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "duplicate")
	s.faults.delay = rapid.SampledFrom([]time.Duration{0, 90 * time.Millisecond, 700 * time.Millisecond, 2 * time.Second}).Draw(t, "delay")
	s.timeout = rapid.SampledFrom([]time.Duration{requestTimeout, time.Minute}).Draw(t, "giveUp")
	for _, d := range s.daemons {
		d.offset = time.Duration(s.rand.Int64N(int64(time.Hour)))
		d.speed = 1 + maxClockDrift*(2*s.rand.Float64()-1)
		s.start(d)
	}
	// An hour without calls ends the learning and fills every bucket.
	s.now += time.Hour
	drawCut(t, s)
	return s
}

// drawCut draws a set of daemons that are periodically cut off from the others, in
// one or both directions.
func drawCut(t *rapid.T, s *simulation) {
	side := rapid.Uint16().Draw(t, "side")
	oneWay := rapid.Bool().Draw(t, "oneWay")
	period := time.Duration(rapid.SampledFrom([]int{3, 12}).Draw(t, "cutSeconds")) * time.Second
	on := func(d *daemon) bool { return side>>(len(d.vm.Name)+int(d.vm.Name[len(d.vm.Name)-1]))%2 == 1 }
	s.faults.cut = func(from, to *daemon, now time.Duration) bool {
		return now/period%2 == 1 && (on(from) && !on(to) || !oneWay && on(to) && !on(from))
	}
}

// runRandomPhases draws phases of load, pauses and restarts, and returns the number of restarts.
func (s *simulation) runRandomPhases(t *rapid.T, demand float64, check func(restarts int)) int {
	restarts := 0
	started := make(map[*daemon]time.Duration)
	mayRestart := rapid.Bool().Draw(t, "mayRestart")
	s.check = func() { check(restarts) }
	for range rapid.IntRange(1, 12).Draw(t, "phases") {
		d := s.daemons[rapid.IntRange(0, len(s.daemons)-1).Draw(t, "daemon")]
		switch rapid.SampledFrom([]string{"none", "restart", "pause"}).Draw(t, "event") {
		case "restart":
			if mayRestart && s.now-started[d] > maxReservation {
				s.start(d)
				restarts++
				started[d] = s.now
			}
		case "pause":
			d.pausedUntil = s.now + time.Duration(rapid.IntRange(100, 6000).Draw(t, "pauseMillis"))*time.Millisecond
		}
		hot := rapid.OneOf(rapid.Uint16(), rapid.SampledFrom([]uint16{1, 2, 4, 8, 16})).Draw(t, "hot")
		s.run(time.Duration(rapid.IntRange(100, 5000).Draw(t, "millis"))*time.Millisecond, func(i int) float64 {
			return 4 * demand * float64(hot>>i%2)
		})
	}
	s.run(2*time.Second, func(int) float64 { return 4 * demand })
	return restarts
}

func TestPermitLimitUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := contract(100_000, 100_000, rapid.IntRange(1, 60).Draw(t, "concurrency"))
		s := drawSimulation(t, c)
		s.callTime = rapid.SampledFrom([]time.Duration{step, 300 * time.Millisecond, 4 * time.Second}).Draw(t, "callTime")
		s.runRandomPhases(t, 20*float64(c.Concurrency), func(restarts int) {
			allowed := c.Concurrency
			if restarts == 0 {
				s.checkPermitAccounting(t)
			} else {
				allowed += int(learningShare*float64(c.Concurrency)) + len(s.daemons)
			}
			if n := s.usablePermits(); n > allowed {
				t.Fatalf("%d permits are usable at %s, want at most %d", n, s.now, allowed)
			}
		})
	})
}

func TestRateLimitUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := contract(rapid.Float64Range(0.5, 300).Draw(t, "rate"), rapid.IntRange(1, 200).Draw(t, "burst"), 100_000)
		s := drawSimulation(t, c)
		restarts := s.runRandomPhases(t, c.RatePerSecond, func(int) {
			if n, most := s.outstandingTokens(), s.rateSlack(0)*(1+2*maxClockDrift); float64(n) > most {
				t.Fatalf("%d tokens are usable at %s, want at most %.1f", n, s.now, most)
			}
		})
		s.checkRate(t, restarts, 1)
	})
}

func TestHotDaemonGetsMostOfTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := contract(rapid.Float64Range(20, 500).Draw(t, "rate"), rapid.IntRange(1, 100).Draw(t, "burst"), 1000)
		s := newSimulation(c, rapid.IntRange(1, 6).Draw(t, "centres"), rapid.IntRange(1, 4).Draw(t, "daemons"), 1)
		for _, d := range s.daemons {
			s.start(d)
		}
		hot := rapid.IntRange(0, len(s.daemons)-1).Draw(t, "hot")
		load := func(i int) float64 {
			if i == hot {
				return 2 * c.RatePerSecond
			}
			return 0
		}
		s.run(2*time.Second, load)
		before := len(s.admitted)
		s.run(5*time.Second, load)
		got := float64(len(s.admitted)-before) / 5
		if got < 0.8*c.RatePerSecond {
			t.Fatalf("the daemon gets %.1f of %.1f calls per second", got, c.RatePerSecond)
		}
	})
}

func TestHotDaemonGetsMostPermits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := contract(100_000, 100_000, rapid.IntRange(6, 300).Draw(t, "concurrency"))
		s := newSimulation(c, rapid.IntRange(1, 6).Draw(t, "centres"), rapid.IntRange(1, 4).Draw(t, "daemons"), 1)
		s.callTime = time.Second
		for _, d := range s.daemons {
			s.start(d)
		}
		s.now += time.Hour
		hot := s.daemons[rapid.IntRange(0, len(s.daemons)-1).Draw(t, "hot")]
		s.run(5*time.Second, func(i int) float64 {
			if s.daemons[i] == hot {
				return 5 * float64(c.Concurrency)
			}
			return 0
		})
		a := hot.limiter.accountFor(c.Customer)
		if got := a.permits(s.clock(hot)); float64(got) < 0.75*float64(c.Concurrency) {
			t.Fatalf("the daemon may use %d of %d permits", got, c.Concurrency)
		}
	})
}

func TestLoadWithinContractIsAdmitted(t *testing.T) {
	s := newSimulation(contract(200, 50, 400), 3, 4, 1)
	for _, d := range s.daemons {
		s.start(d)
	}
	s.now += time.Hour
	s.run(10*time.Second, func(int) float64 { return 0.8 * 200 / 12 })
	refused := 0
	for _, d := range s.daemons {
		refused += d.refused
	}
	if refused*100 > len(s.admitted) {
		t.Fatalf("%d calls were refused and %d admitted, at 80%% of the contract", refused, len(s.admitted))
	}
}

func TestOverloadAtAllDaemonsIsLimited(t *testing.T) {
	s := newSimulation(contract(100, 20, 50), 3, 30, 1)
	for _, d := range s.daemons {
		s.start(d)
	}
	s.run(5*time.Second, func(int) float64 { return 100 })
	if got, most := len(s.admitted), 100*5+s.rateSlack(0); float64(got) > most {
		t.Fatalf("%d calls were admitted in 5 s, want at most %.0f", got, most)
	}
	if got := len(s.admitted); got < 250 {
		t.Fatalf("only %d calls were admitted in 5 s, half of the contract is 250", got)
	}
}
