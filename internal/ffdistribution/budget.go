package ffdistribution

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"fireflyfall.dev/fireflyfall/internal/ffplacement"
)

const (
	// defaultCeiling is the platform's rate limit for all daemons together, in
	// calls per second.
	defaultCeiling = 2000
	// defaultFleetSize is the size of the largest fleet, in daemons.
	defaultFleetSize = 5200
	// favouredShare is the fraction of the ceiling for the favoured daemons together.
	favouredShare = 0.6
	// commonShare is the fraction of the ceiling for all daemons together; the
	// rest is margin for the random number of favoured names.
	commonShare = 0.25
	// favouredPeak is the most calls that one favoured daemon may make in one
	// second: watchCost, one second of the limiter's rate, and its burst.
	favouredPeak = 11.0
	// favouredDeviations is the number of standard deviations by which the
	// number of favoured daemons may exceed its expected value.
	favouredDeviations = 3.0
	// watchCost is the cost of the two watches of one daemon, in calls per second.
	watchCost = 2.0
)

// Budget limits this daemon's calls to the platform so that the sum over all
// daemons stays below the ceiling, even if their views of the fleet, and so of
// their roles, disagree. A small fraction of the fleet, favoured by name, may hold
// watches and has a burst. Every other daemon has one slot per period at a random
// phase; unused slots do not accumulate, so that idle daemons cannot burst
// together. The zero value assumes the largest fleet.
type Budget struct {
	// Name is the name of this daemon's VM.
	Name string
	// Ceiling is the platform's rate limit for all daemons together, in calls per
	// second; 2000 if zero.
	Ceiling float64
	// FleetSize is the largest number of daemons; 5200 if zero.
	FleetSize int

	once     sync.Once
	fraction float64
	limiter  *rate.Limiter
	period   time.Duration

	// slotLock is a semaphore held by the caller that waits for nextSlot.
	slotLock chan struct{}
	nextSlot time.Time
}

func (b *Budget) init() {
	if b.Ceiling == 0 {
		b.Ceiling = defaultCeiling
	}
	if b.FleetSize == 0 {
		b.FleetSize = defaultFleetSize
	}
	b.period = time.Duration(float64(b.FleetSize) / (commonShare * b.Ceiling) * float64(time.Second))
	b.slotLock = make(chan struct{}, 1)
	b.nextSlot = time.Now().Add(rand.N(b.period))
	maxFavoured := favouredShare * b.Ceiling / favouredPeak
	b.fraction = min(1, expectedCount(maxFavoured)/float64(b.FleetSize))
	perDaemon := favouredShare * b.Ceiling / min(maxFavoured, float64(b.FleetSize))
	refill := (perDaemon - watchCost) / 2
	b.limiter = rate.NewLimiter(rate.Limit(refill), int(refill))
}

// expectedCount returns the mean of a Poisson count that exceeds limit only if it
// is more than favouredDeviations standard deviations above its mean.
func expectedCount(limit float64) float64 {
	half := favouredDeviations / 2
	root := math.Sqrt(limit+half*half) - half
	return root * root
}

// FavouredFraction returns the favoured fraction of the fleet, from 0 to 1. It is the same
// for every daemon with the same ceiling and fleet size.
func (b *Budget) FavouredFraction() float64 {
	b.once.Do(b.init)
	return b.fraction
}

// MayWatch reports whether this daemon is favoured and so may watch the platform.
func (b *Budget) MayWatch() bool { return ffplacement.Favoured(b.Name, b.FavouredFraction()) }

// Wait blocks until one more call is allowed. It returns an error if ctx ends, or
// would end, before that.
func (b *Budget) Wait(ctx context.Context) error {
	if b.MayWatch() {
		return b.limiter.Wait(ctx)
	}
	select {
	case b.slotLock <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-b.slotLock }()
	slot := b.slotAfter(time.Now())
	if err := waitUntil(ctx, slot); err != nil {
		return err
	}
	b.nextSlot = slot.Add(b.period)
	return nil
}

// slotAfter returns the first unused slot at or after now.
func (b *Budget) slotAfter(now time.Time) time.Time {
	missed := now.Sub(b.nextSlot)
	if missed <= 0 {
		return b.nextSlot
	}
	return b.nextSlot.Add((missed + b.period - 1).Truncate(b.period))
}

// waitUntil blocks until the given time. It returns the context's error if ctx ends first.
func waitUntil(ctx context.Context, at time.Time) error {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
