package ffbalance

import (
	"time"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// Thresholds of the outlier detection.
const (
	// slowFactor is the multiple of the median latency above which a target is slow.
	slowFactor = 3
	// slowMargin is the minimum excess of a slow target over the median latency, in
	// nanoseconds.
	slowMargin = float64(2 * time.Millisecond)
	// recoveredFactor is the multiple of the median latency up to which a probe succeeds.
	recoveredFactor = 2
	// failingShare is the average share of failures above which a target is an outlier.
	failingShare = 0.5
	// targetsPerEjection limits the ejected members of a subset to one in three, rounded down.
	targetsPerEjection = 3
)

// Probing of ejected targets.
const (
	minProbeInterval = time.Second
	maxProbeInterval = 8 * time.Second
	// callsPerProbe is the minimum number of calls of a service between probes, which
	// limits the share of calls that a bad target can slow down. With fewer calls, a
	// probe is delayed by maxProbeInterval.
	callsPerProbe = 200
	// requiredGoodProbes is the number of successive good probes that end an ejection.
	requiredGoodProbes = 2
)

// ejection is the state of a target's ejection as an outlier.
type ejection struct {
	active bool
	// probeAt is the time from which one call may probe the target.
	probeAt    time.Time
	interval   time.Duration
	goodProbes int
	// baseline is the median latency of each class among the members that the target
	// is compared with, in nanoseconds; zero if unknown.
	baseline [classes]float64
}

// recordResult counts a result of an ejected target as a probe and ends the
// ejection after requiredGoodProbes good ones. A bad probe doubles the interval.
func (e *ejection) recordResult(t *targetStats, r Result) {
	if !e.active || r.Failed && !r.isTargetFault() {
		return
	}
	baseline := e.baseline[r.Class]
	if r.isTargetFault() || baseline > 0 && slower(float64(r.Latency), baseline, recoveredFactor) {
		e.goodProbes = 0
		e.interval = min(2*e.interval, maxProbeInterval)
		return
	}
	e.goodProbes++
	if e.goodProbes < requiredGoodProbes {
		return
	}
	e.active = false
	t.failures = 0
	t.classes[r.Class].latency = float64(r.Latency)
}

// outlierDegree returns how far the target exceeds the thresholds in failures and
// latency; it is an outlier above 1.
func (t *targetStats) outlierDegree(medians [classes]float64, now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	worst := t.failures / failingShare
	for class := range t.classes {
		if medians[class] == 0 {
			continue
		}
		latency := t.expectedLatency(ffconfig.Class(class), medians[class], now)
		if slower(latency, medians[class], slowFactor) {
			worst = max(worst, latency/(slowFactor*medians[class]))
		}
	}
	return worst
}

// slower reports whether latency exceeds baseline by both factor and slowMargin.
func slower(latency, baseline, factor float64) bool {
	return latency > factor*baseline && latency > baseline+slowMargin
}

// setEjected starts or ends the ejection of the target and stores the medians
// with which its probes are compared.
func (t *targetStats) setEjected(active bool, medians [classes]float64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ejection.baseline = medians
	if active == t.ejection.active {
		return
	}
	t.ejection.active = active
	t.ejection.goodProbes = 0
	t.ejection.interval = minProbeInterval
	t.ejection.probeAt = now.Add(minProbeInterval)
}

// isEjected reports whether the target is ejected.
func (t *targetStats) isEjected() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ejection.active
}

// tryProbe reports whether this call may probe the target, and schedules the next
// probe. Without enoughCalls since the group's last probe, it waits maxProbeInterval
// longer.
func (t *targetStats) tryProbe(enoughCalls bool, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := t.ejection.probeAt
	if !enoughCalls {
		at = at.Add(maxProbeInterval)
	}
	if !t.ejection.active || now.Before(at) || t.inFlight() > 0 || now.Before(t.leavingUntil) {
		return false
	}
	t.ejection.probeAt = now.Add(t.ejection.interval)
	return true
}
