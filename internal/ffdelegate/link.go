package ffdelegate

import "slices"

const (
	// fastFactor is how many times as fast as most others a fast link is.
	fastFactor = 4
	// minKnownLinks is the number of other links from which this can be told.
	minKnownLinks = 3
)

// FastLink reports whether a link is so much faster than most others that a daemon on it
// reads a large configuration from the store and sends it to them before they could read
// it. Rates are in bytes per second; those of others that are 0 are not known.
func FastLink(rate int64, others []int64) bool {
	known := slices.DeleteFunc(slices.Clone(others), func(r int64) bool { return r <= 0 })
	if len(known) < minKnownLinks {
		return false
	}
	slices.Sort(known)
	return rate >= fastFactor*known[len(known)/2]
}
