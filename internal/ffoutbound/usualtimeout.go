package ffoutbound

import (
	"slices"
	"time"
)

const (
	// minUsualShare is the least share of the requests of a route that have its usual
	// timeout. Even if each client asks three more times, first requests have more.
	minUsualShare = 0.2
	// maxTimeoutCounts is the number of different timeouts that are counted: enough for
	// every one with minUsualShare, and some that are not.
	maxTimeoutCounts = 16
	// timeoutWindow is the number of requests after which all counts are halved.
	timeoutWindow = 256
)

// timeoutCount is the number of recent requests with a timeout.
type timeoutCount struct {
	timeout time.Duration
	n       float64
}

// usualTimeout finds the timeout that clients of a route send with their first requests:
// the longest that a notable share of them has. Requests that repeat others have less,
// all of them different, and few clients that wait very long count for nothing. The zero
// value is ready to use.
type usualTimeout struct {
	counts   []timeoutCount
	requests float64
}

// add counts a request.
func (u *usualTimeout) add(timeout time.Duration) {
	if u.requests >= timeoutWindow {
		u.halve()
	}
	u.requests++
	i := slices.IndexFunc(u.counts, func(c timeoutCount) bool { return (c.timeout - timeout).Abs() < clientRetryThreshold })
	switch {
	case i >= 0:
		u.counts[i].n++
	case len(u.counts) < maxTimeoutCounts:
		u.counts = append(u.counts, timeoutCount{timeout, 1})
	default:
		u.replaceRarest(timeout)
	}
}

func (u *usualTimeout) halve() {
	u.requests /= 2
	for i := range u.counts {
		u.counts[i].n /= 2
	}
	u.counts = slices.DeleteFunc(u.counts, func(c timeoutCount) bool { return c.n < 1 })
}

// replaceRarest counts a timeout in place of the one that is counted least.
func (u *usualTimeout) replaceRarest(timeout time.Duration) {
	rarest := 0
	for i, c := range u.counts {
		if c.n < u.counts[rarest].n {
			rarest = i
		}
	}
	u.counts[rarest] = timeoutCount{timeout, 1}
}

// longest returns the usual timeout; 0 if there is none.
func (u *usualTimeout) longest() time.Duration {
	longest := time.Duration(0)
	for _, c := range u.counts {
		if c.n >= minUsualShare*u.requests {
			longest = max(longest, c.timeout)
		}
	}
	return longest
}
