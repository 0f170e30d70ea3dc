package ffbalance

import (
	"time"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// When a target counts as an outlier.
const (
	// slowFactor is the multiple of the usual latency above which a target is slow.
	slowFactor = 3
	// slowMargin is the least excess over the usual latency, in nanoseconds.
	slowMargin = float64(2 * time.Millisecond)
	// recoveredFactor is the multiple of the usual latency below which a probe is good.
	recoveredFactor = 2
	// failingShare is the running share of failures above which a target is failing.
	failingShare = 0.5
	// maxShunnedFraction is the part of a subset, rounded down, that may be shunned: one in three.
	maxShunnedFraction = 3
)

// How a shunned target returns.
const (
	minProbeInterval = time.Second
	maxProbeInterval = 8 * time.Second
	// callsPerProbe is the least number of calls of a service for each probe.
	callsPerProbe = 200
	// goodProbes is the number of good probes after which a target returns.
	goodProbes = 2
)

// shun is the state of a target that is an outlier.
type shun struct {
	active bool
	// probeAt is the time from which one call may test the target.
	probeAt  time.Time
	interval time.Duration
	good     int
	// usual is the latency of its neighbours, in nanoseconds, for each class.
	usual [classes]float64
}

// judge takes in a result at a target that is shunned.
func (s *shun) judge(f *facts, r Result) {
	if !s.active || r.Failed && !r.faulty() {
		return
	}
	usual := s.usual[r.Class]
	if r.faulty() || usual > 0 && slower(float64(r.Latency), usual, recoveredFactor) {
		s.good = 0
		s.interval = min(2*s.interval, maxProbeInterval)
		return
	}
	s.good++
	if s.good < goodProbes {
		return
	}
	s.active = false
	f.failures = 0
	f.classes[r.Class].latency = float64(r.Latency)
}

// outlier returns how far the target is off its neighbours; below 1 it is none.
func (f *facts) outlier(usual [classes]float64, now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	worst := f.failures / failingShare
	for class := range f.classes {
		if usual[class] == 0 {
			continue
		}
		latency := f.expectedLatency(ffconfig.Class(class), usual[class], now)
		if slower(latency, usual[class], slowFactor) {
			worst = max(worst, latency/(slowFactor*usual[class]))
		}
	}
	return worst
}

func slower(latency, usual, factor float64) bool {
	return latency > factor*usual && latency > usual+slowMargin
}

// setShunned starts or ends the shunning of the target.
func (f *facts) setShunned(active bool, usual [classes]float64, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.shun.usual = usual
	if active == f.shun.active {
		return
	}
	f.shun.active = active
	f.shun.good = 0
	f.shun.interval = minProbeInterval
	f.shun.probeAt = now.Add(minProbeInterval)
}

// isShunned reports whether the target is shunned and not yet recovered.
func (f *facts) isShunned() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.shun.active
}

// takeProbe reports whether this call may test the target, and plans the next
// test. Where too few calls have paid for a test, it waits longer.
func (f *facts) takeProbe(paid bool, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := f.shun.probeAt
	if !paid {
		at = at.Add(maxProbeInterval)
	}
	if !f.shun.active || now.Before(at) || f.inFlight() > 0 || now.Before(f.leavingUntil) {
		return false
	}
	f.shun.probeAt = now.Add(f.shun.interval)
	return true
}
