package ffhedge

import "time"

const (
	// minSamples is the number of answers from which the times of a class are known.
	minSamples = 20
	// quantileStep is the relative step of the estimated quantile per answer.
	quantileStep = 0.1
	// meanWeight is the weight of a new answer in the moving mean.
	meanWeight = 0.1
	// leastSlowShare is the least share of calls that counts as slow: fewer cannot be told
	// from the answers of one entry.
	leastSlowShare = 0.01
)

// Times holds the recent times of the answers to one class of calls: their mean, and the
// time that only a given share of them exceeds, whatever the shape of their distribution. It
// is immutable, and the zero value knows none.
type Times struct {
	samples  int
	mean     time.Duration
	slowFrom time.Duration
}

// WithAnswer returns t with one more answer; a share of slow ones counts as slow.
func (t Times) WithAnswer(d time.Duration, slow float64) Times {
	slow = max(slow, leastSlowShare)
	if t.samples == 0 {
		return Times{samples: 1, mean: d, slowFrom: d}
	}
	t.samples++
	t.mean += time.Duration(meanWeight * float64(d-t.mean))
	step := -quantileStep * slow
	if d > t.slowFrom {
		step = quantileStep * (1 - slow)
	}
	t.slowFrom += time.Duration(step * float64(t.slowFrom))
	return t
}

// Mean returns the mean time; 0 if none is known.
func (t Times) Mean() time.Duration {
	if t.samples < minSamples {
		return 0
	}
	return t.mean
}

// SlowFrom returns the time that only slow answers exceed; 0 if none is known.
func (t Times) SlowFrom() time.Duration {
	if t.samples < minSamples {
		return 0
	}
	return t.slowFrom
}
