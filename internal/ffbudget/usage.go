package ffbudget

import "slices"

const (
	// windowIntervals is the number of intervals into which the window is divided. Retries
	// are kept for one more, since the window may begin anywhere in its first interval.
	windowIntervals = 20
	usageBuckets    = windowIntervals + 1
	// firstInterval is the number of the interval in which an entry starts, so that empty
	// buckets belong to none in the window.
	firstInterval = 2 * usageBuckets
)

// usage counts the requests and retries of one service in the intervals of the window.
type usage struct {
	// highest and lowest bound the priorities of the calls seen; 0 is the highest.
	highest, lowest int
	buckets         [usageBuckets]bucket
}

// bucket holds the counts of one interval. ofRuns are the retries that runs made which were
// themselves retries.
type bucket struct {
	interval                  int64
	requests, retries, ofRuns float64
}

// at returns the bucket of an interval, without the counts of an earlier one.
func (u *usage) at(interval int64) *bucket {
	b := &u.buckets[interval%usageBuckets]
	if b.interval != interval {
		*b = bucket{interval: interval}
	}
	return b
}

// calledByRetries reports whether runs that were themselves retries made calls in the window
// that ends with an interval.
func (u *usage) calledByRetries(interval int64) bool {
	return slices.ContainsFunc(u.buckets[:], func(b bucket) bool {
		return interval-b.interval <= windowIntervals && b.ofRuns > 0
	})
}

// totals returns the requests and retries in the window that ends with an interval.
func (u *usage) totals(interval int64) (requests, retries float64) {
	for _, b := range u.buckets {
		age := interval - b.interval
		if age < windowIntervals {
			requests += b.requests
		}
		if age <= windowIntervals {
			retries += b.retries
		}
	}
	return requests, retries
}
