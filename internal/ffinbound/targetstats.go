package ffinbound

import (
	"math"
	"time"
)

const (
	// defaultServiceTime is assumed while no call was measured.
	defaultServiceTime = 60 * time.Millisecond
	// sampleWeight is the weight of a new service time in the moving average.
	sampleWeight = 0.1
	// freshPeriod is how long a service time is reported in full without new samples;
	// after that it decays with the time constant staleDecay, so that a target that
	// was slow once is tried again.
	freshPeriod = time.Second
	staleDecay  = 2 * time.Second
	// failureDecay is the time constant with which the failure rate decays.
	failureDecay = 2 * time.Second
	// failureWeight is the weight of a new outcome in the failure rate.
	failureWeight = 0.15
)

// maxClasses is the number of classes of calls from which their statistics start anew.
const maxClasses = 128

// targetStats tracks the service times of a target by class of calls, and its failure rate.
type targetStats struct {
	classes map[uint16]classTimes
	// overall is the moving average of all service times.
	overall   time.Duration
	sampledAt time.Time
	// failing is the failure rate at failingAt.
	failing   float64
	failingAt time.Time
}

// classTimes holds the moving averages of the service times of a class, and of their
// distance from the mean.
type classTimes struct{ mean, deviation time.Duration }

// with returns c with one more service time.
func (c classTimes) with(d time.Duration) classTimes {
	if c.mean == 0 {
		return classTimes{mean: d}
	}
	return classTimes{mean: movingAverage(c.mean, d), deviation: movingAverage(c.deviation, (d - c.mean).Abs())}
}

// recordTime adds the service time of one call.
func (t *targetStats) recordTime(now time.Time, class uint16, d time.Duration) {
	t.sampledAt = now
	if t.classes == nil || len(t.classes) >= maxClasses {
		t.classes = make(map[uint16]classTimes)
	}
	t.classes[class] = t.classes[class].with(d)
	t.overall = movingAverage(t.overall, d)
}

func movingAverage(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(sampleWeight*float64(sample-mean))
}

// expected returns the estimated service time of a call.
func (t *targetStats) expected(class uint16) time.Duration {
	if c, ok := t.classes[class]; ok {
		return c.mean
	}
	return t.typical()
}

// usual returns the time within which most calls of a class end.
func (t *targetStats) usual(class uint16) time.Duration {
	return t.expected(class) + t.classes[class].deviation
}

// typical returns the mean service time of all calls.
func (t *targetStats) typical() time.Duration {
	if t.overall == 0 {
		return defaultServiceTime
	}
	return t.overall
}

// decayedTypical returns the typical service time as reported to entries; 0 if none
// was measured.
func (t *targetStats) decayedTypical(now time.Time) time.Duration {
	stale := now.Sub(t.sampledAt) - freshPeriod
	if stale <= 0 {
		return t.overall
	}
	return time.Duration(float64(t.overall) * math.Exp(-stale.Seconds()/staleDecay.Seconds()))
}

// recordOutcome adds the success or failure of one call.
func (t *targetStats) recordOutcome(now time.Time, failed bool) {
	t.failing = t.failureRate(now) * (1 - failureWeight)
	if failed {
		t.failing += failureWeight
	}
	t.failingAt = now
}

// failureRate returns the recent share of failed calls, 0 to 1.
func (t *targetStats) failureRate(now time.Time) float64 {
	return t.failing * math.Exp(-now.Sub(t.failingAt).Seconds()/failureDecay.Seconds())
}

// reset discards all statistics, for a new process of the target.
func (t *targetStats) reset() { *t = targetStats{} }
