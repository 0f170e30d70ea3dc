package ffinbound

import (
	"slices"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffmesh"
	"fireflyfall.dev/fireflyfall/internal/ffroute"
)

// readDelay is the longest time that is expected between a target sending a request and
// its entry reading it.
const readDelay = 50 * time.Millisecond

// runs holds the calls at the target.
type runs struct{ calls []*ffmesh.Call }

func (r *runs) add(c *ffmesh.Call) { r.calls = append(r.calls, c) }

func (r *runs) remove(c *ffmesh.Call) {
	if i := slices.Index(r.calls, c); i >= 0 {
		r.calls = slices.Delete(r.calls, i, i+1)
	}
}

// retryShare estimates the probability that a request with the given deadline was made by
// a run that counts as a retry. Only a run whose own deadline is not earlier can have made
// it. Of the kinds of calls at the target, the one with most retries counts, since not all
// kinds make requests.
func (r *runs) retryShare(deadline time.Time) float64 {
	type tally struct{ runs, retries float64 }
	byKind := make(map[ffroute.Kind]tally)
	for _, c := range r.calls {
		if c.Deadline.Add(readDelay).Before(deadline) {
			continue
		}
		t := byKind[c.Kind]
		byKind[c.Kind] = tally{t.runs + 1, t.retries + c.RetryShare}
	}
	share := 0.0
	for _, t := range byKind {
		share = max(share, t.retries/t.runs)
	}
	return share
}

// retries returns the number of runs that are retries.
func (r *runs) retries() int {
	n := 0
	for _, c := range r.calls {
		if c.RetryShare == 1 {
			n++
		}
	}
	return n
}

// RetryShare estimates the probability that a request with the given deadline was made by
// a run at the target that counts as a retry.
func (g *Gate) RetryShare(deadline time.Time) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.runs.retryShare(deadline)
}
