package ffdistribution_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	_ "fireflyfall.dev/fireflyfall/internal/ffseed" // fixes the seed

	"fireflyfall.dev/fireflyfall/internal/ffdistribution"
)

// callLog records the times of the calls of all daemons.
type callLog struct {
	mu    sync.Mutex
	calls []time.Time
}

func (l *callLog) callRepeatedly(ctx context.Context, b *ffdistribution.Budget) {
	for b.Wait(ctx) == nil {
		l.mu.Lock()
		l.calls = append(l.calls, time.Now())
		l.mu.Unlock()
	}
}

// peakRate returns the greatest number of calls in any second.
func (l *callLog) peakRate() int {
	slices.SortFunc(l.calls, time.Time.Compare)
	peak, first := 0, 0
	for i := range l.calls {
		for l.calls[i].Sub(l.calls[first]) >= time.Second {
			first++
		}
		peak = max(peak, i-first+1)
	}
	return peak
}

// measurePeakRate leaves a whole fleet idle for a minute, then has every daemon call
// as often as its budget allows. It returns the peak calls per second, including one
// per second for each watch that a daemon may hold.
func measurePeakRate(t *testing.T, fleetSize int, ceiling float64) int {
	var peak int
	synctest.Test(t, func(*testing.T) {
		l := &callLog{}
		watches := 0
		budgets := make([]*ffdistribution.Budget, fleetSize)
		for i := range budgets {
			budgets[i] = &ffdistribution.Budget{Name: fmt.Sprintf("vm-%05d", i), Ceiling: ceiling, FleetSize: fleetSize}
			if budgets[i].MayWatch() {
				watches += 2
			}
		}
		advance(time.Minute)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		var wg sync.WaitGroup
		for _, b := range budgets {
			wg.Go(func() { l.callRepeatedly(ctx, b) })
		}
		wg.Wait()
		peak = l.peakRate() + watches
	})
	return peak
}

func TestFleetStaysBelowCeiling(t *testing.T) {
	for _, fleetSize := range []int{3, 20, 160, 300, 1000, 5200} {
		const ceiling = 2000
		if peak := measurePeakRate(t, fleetSize, ceiling); peak > ceiling {
			t.Errorf("%d daemons: %d calls in one second, want at most %d", fleetSize, peak, ceiling)
		}
	}
}

func TestFleetStaysBelowAnyCeiling(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fleetSize := rapid.IntRange(1, 400).Draw(rt, "fleetSize")
		ceiling := rapid.IntRange(100, 3000).Draw(rt, "ceiling")
		if peak := measurePeakRate(t, fleetSize, float64(ceiling)); peak > ceiling {
			rt.Fatalf("%d calls in one second", peak)
		}
	})
}

func TestCancelledWaitTakesNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &ffdistribution.Budget{Name: "vm-00000"}
		for range 100 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
			_ = b.Wait(ctx)
			cancel()
		}
		ctx, cancel := context.WithTimeout(t.Context(), 11*time.Second)
		defer cancel()
		if err := b.Wait(ctx); err != nil {
			t.Errorf("%v: cancelled waits used up later slots", err)
		}
	})
}
