package fflimit

import (
	"math"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// staticShare is the share of a contract that is divided among the daemons for
// good, for when no allocator answers.
const staticShare = 0.1

// minStaticRate is the rate of calls a second below which a static part is not
// divided further.
const minStaticRate = 1

// minStaticPermits is the number of a cell's permits from which one is static.
const minStaticPermits = 4

// bucketSeconds is the least depth of a cell's bucket, in seconds of its rate,
// so that what nobody asks for between two asks is not lost.
const bucketSeconds = 0.5

// part is a part of a contract.
type part struct {
	// rate is the number of calls a second.
	rate float64
	// burst is the number of calls that may come at once.
	burst   float64
	permits int
}

// cellParts returns what a contract gives to a cell: a part to allocate, and a
// part that its daemons hold for good. The parts of all cells sum to the contract.
func cellParts(c *ffconfig.Contract, all []cell, own int) (dynamic, static part) {
	before := 0.0
	for i := range own {
		before += all[i].share
	}
	permits := portion(c.Concurrency, before+all[own].share) - portion(c.Concurrency, before)
	static = part{
		rate:    staticShare * c.RatePerSecond * all[own].share,
		burst:   staticShare * float64(c.Burst) * all[own].share,
		permits: max(int(staticShare*float64(permits)), min(permits/minStaticPermits, 1)),
	}
	dynamic = part{
		rate:    (1 - staticShare) * c.RatePerSecond * all[own].share,
		burst:   (1 - staticShare) * float64(c.Burst) * all[own].share,
		permits: permits - static.permits,
	}
	return dynamic, static
}

// portion returns the whole part of a share of n; the margin absorbs rounding in the sum of shares.
func portion(n int, share float64) int {
	const margin = 1e-9
	return int(math.Floor(float64(n)*share + margin))
}

// ofDaemon returns the part of the daemon at a position among the daemons of a
// cell. Where a daemon's part would fall below one call a second, only the
// first few hold any.
func (p part) ofDaemon(position, daemons int) part {
	if position < 0 || daemons == 0 {
		return part{}
	}
	holders := min(max(int(p.rate/minStaticRate), 1), daemons)
	own := part{permits: p.permits / daemons}
	if position < p.permits%daemons {
		own.permits++
	}
	if position < holders {
		own.rate = p.rate / float64(holders)
		own.burst = max(p.burst/float64(holders), 1)
	}
	return own
}
