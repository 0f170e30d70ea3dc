package ffinbound

import (
	"math"
	"time"
)

const (
	// unknownService is assumed for a route class that was not measured yet.
	unknownService = 60 * time.Millisecond
	// sampleWeight is the weight of a new service time.
	sampleWeight = 0.1
	// freshFor is how long a service time counts in full without new samples, and
	// staleMemory the time constant with which it fades then, so that a target that
	// was slow once is tried again.
	freshFor    = time.Second
	staleMemory = 2 * time.Second
	// failureMemory is the time constant with which failures are forgotten.
	failureMemory = 2 * time.Second
	// failureWeight is the weight of a new outcome.
	failureWeight = 0.15
)

// times follows the service times of a target by priority, and its failures.
type times struct {
	mean    map[int]time.Duration
	overall time.Duration
	sampled time.Time
	failing float64
	at      time.Time
}

// observe adds the service time of one call.
func (t *times) observe(now time.Time, priority int, d time.Duration) {
	t.sampled = now
	if t.mean == nil {
		t.mean = make(map[int]time.Duration)
	}
	t.mean[priority] = blend(t.mean[priority], d)
	t.overall = blend(t.overall, d)
}

func blend(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(sampleWeight*float64(sample-mean))
}

// expected returns the likely service time of a call.
func (t *times) expected(priority int) time.Duration {
	if d, ok := t.mean[priority]; ok {
		return d
	}
	return t.typical()
}

// typical returns the mean service time over all calls.
func (t *times) typical() time.Duration {
	if t.overall == 0 {
		return unknownService
	}
	return t.overall
}

// faded returns the typical service time as others should see it; 0 when none was
// measured.
func (t *times) faded(now time.Time) time.Duration {
	stale := now.Sub(t.sampled) - freshFor
	if stale <= 0 {
		return t.overall
	}
	return time.Duration(float64(t.overall) * math.Exp(-stale.Seconds()/staleMemory.Seconds()))
}

// outcome adds whether a call failed.
func (t *times) outcome(now time.Time, failed bool) {
	t.failing = t.failures(now) * (1 - failureWeight)
	if failed {
		t.failing += failureWeight
	}
	t.at = now
}

// failures returns the recent share of failed calls.
func (t *times) failures(now time.Time) float64 {
	return t.failing * math.Exp(-now.Sub(t.at).Seconds()/failureMemory.Seconds())
}

// reset forgets everything, for a new life of the target.
func (t *times) reset() { *t = times{} }
