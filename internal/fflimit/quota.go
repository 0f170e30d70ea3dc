package fflimit

import (
	"math"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// staticShare is the share of a contract that is permanently divided among the
// daemons, for use when no allocator responds.
const staticShare = 0.1

// minStaticRate is the rate in calls per second below which a static quota is not
// divided further.
const minStaticRate = 1

// minStaticPermits is the number of a cell's permits from which one is static.
const minStaticPermits = 4

// bucketSeconds is the minimum depth of a cell's bucket, in seconds of its rate, so
// that tokens that accumulate between two requests are not lost.
const bucketSeconds = 0.5

// quota is a part of a contract.
type quota struct {
	// rate is the number of calls per second.
	rate float64
	// burst is the number of calls that may come at once.
	burst   float64
	permits int
}

// cellQuotas returns the quotas of a cell in a contract: a dynamic one to allocate, and
// a static one that its daemons hold permanently. The quotas of all cells sum to the
// contract.
func cellQuotas(c *ffconfig.Contract, cells []cell, index int) (dynamic, static quota) {
	precedingShare := 0.0
	for i := range index {
		precedingShare += cells[i].share
	}
	permits := floorShare(c.Concurrency, precedingShare+cells[index].share) - floorShare(c.Concurrency, precedingShare)
	static = quota{
		rate:    staticShare * c.RatePerSecond * cells[index].share,
		burst:   staticShare * float64(c.Burst) * cells[index].share,
		permits: max(int(staticShare*float64(permits)), min(permits/minStaticPermits, 1)),
	}
	dynamic = quota{
		rate:    (1 - staticShare) * c.RatePerSecond * cells[index].share,
		burst:   (1 - staticShare) * float64(c.Burst) * cells[index].share,
		permits: permits - static.permits,
	}
	return dynamic, static
}

// floorShare returns the integer part of a share of n; the margin absorbs rounding in
// the sum of shares.
func floorShare(n int, share float64) int {
	const margin = 1e-9
	return int(math.Floor(float64(n)*share + margin))
}

// forDaemon returns the quota of the daemon at a position among the daemons of a cell.
// If the rate of each would be below minStaticRate, only the first few get a rate and
// burst.
func (q quota) forDaemon(position, daemons int) quota {
	if position < 0 || daemons == 0 {
		return quota{}
	}
	holders := min(max(int(q.rate/minStaticRate), 1), daemons)
	daemonQuota := quota{permits: q.permits / daemons}
	if position < q.permits%daemons {
		daemonQuota.permits++
	}
	if position < holders {
		daemonQuota.rate = q.rate / float64(holders)
		daemonQuota.burst = max(q.burst/float64(holders), 1)
	}
	return daemonQuota
}
