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
	// defaultCeiling is the platform's rate over all readers, in calls a second.
	defaultCeiling = 2000
	// defaultFleetSize is the largest fleet, in daemons.
	defaultFleetSize = 5200
	// favouredPart is the part of the ceiling that the favoured daemons share.
	favouredPart = 0.6
	// commonPart is the part of the ceiling that all daemons share; the rest is
	// margin for the chance in which names are favoured.
	commonPart = 0.25
	// favouredCost is what one favoured daemon may use in its worst second:
	// watchCost, one second's rate and the burst.
	favouredCost = 11.0
	// favouredDeviations is by how many standard deviations more daemons than
	// expected may be favoured.
	favouredDeviations = 3.0
	// watchCost is the cost of the two watches that a daemon holds, in calls a second.
	watchCost = 2.0
)

// Budget grants this daemon's part of the platform's rate, so that the sum over
// all daemons stays below the ceiling whatever each believes its role to be. A
// small part of the fleet, favoured by name, may hold watches and has a burst;
// each other daemon has one slot in a period, at a random phase, so that idle
// daemons save nothing up for a herd. The zero value assumes the largest fleet.
type Budget struct {
	// Name is the name of this daemon's VM.
	Name string
	// Ceiling is the platform's rate over all readers, in calls a second; 2000 when zero.
	Ceiling float64
	// FleetSize is the largest number of daemons; 5200 when zero.
	FleetSize int

	once     sync.Once
	fraction float64
	limiter  *rate.Limiter
	period   time.Duration

	// turn is held by the caller that waits for next.
	turn chan struct{}
	next time.Time
}

func (b *Budget) init() {
	if b.Ceiling == 0 {
		b.Ceiling = defaultCeiling
	}
	if b.FleetSize == 0 {
		b.FleetSize = defaultFleetSize
	}
	b.period = time.Duration(float64(b.FleetSize) / (commonPart * b.Ceiling) * float64(time.Second))
	b.turn = make(chan struct{}, 1)
	b.next = time.Now().Add(rand.N(b.period))
	most := favouredPart * b.Ceiling / favouredCost
	b.fraction = min(1, expected(most)/float64(b.FleetSize))
	each := favouredPart * b.Ceiling / min(most, float64(b.FleetSize))
	spare := (each - watchCost) / 2
	b.limiter = rate.NewLimiter(rate.Limit(spare), int(spare))
}

// expected returns the mean of a count that chance takes above most only by more
// than favouredDeviations.
func expected(most float64) float64 {
	half := favouredDeviations / 2
	root := math.Sqrt(most+half*half) - half
	return root * root
}

// Fraction returns the part of the fleet that is favoured, the same for every daemon.
func (b *Budget) Fraction() float64 {
	b.once.Do(b.init)
	return b.fraction
}

// MayWatch reports whether this daemon may hold the platform's watches.
func (b *Budget) MayWatch() bool { return ffplacement.Favoured(b.Name, b.Fraction()) }

// Wait blocks until one more call is allowed.
func (b *Budget) Wait(ctx context.Context) error {
	if b.MayWatch() {
		return b.limiter.Wait(ctx)
	}
	select {
	case b.turn <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-b.turn }()
	slot := b.slotAfter(time.Now())
	if err := waitUntil(ctx, slot); err != nil {
		return err
	}
	b.next = slot.Add(b.period)
	return nil
}

// slotAfter returns the first slot at or after now that is not taken.
func (b *Budget) slotAfter(now time.Time) time.Time {
	missed := now.Sub(b.next)
	if missed <= 0 {
		return b.next
	}
	return b.next.Add((missed + b.period - 1).Truncate(b.period))
}

// waitUntil blocks until the time given, or returns the error of a context that ends before.
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
