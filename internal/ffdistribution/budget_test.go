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

// herd is a fleet in which every daemon calls the platform as often as it may.
type herd struct {
	mu    sync.Mutex
	calls []time.Time
}

func (h *herd) loop(ctx context.Context, b *ffdistribution.Budget) {
	for b.Wait(ctx) == nil {
		h.mu.Lock()
		h.calls = append(h.calls, time.Now())
		h.mu.Unlock()
	}
}

// worst returns the greatest number of calls in any second.
func (h *herd) worst() int {
	slices.SortFunc(h.calls, time.Time.Compare)
	worst, first := 0, 0
	for i := range h.calls {
		for h.calls[i].Sub(h.calls[first]) >= time.Second {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return worst
}

// runHerd lets a whole fleet save up for a while and then call as often as it
// may, and returns the worst second, with a call a second for each watch that a
// daemon may hold.
func runHerd(t *testing.T, fleetSize int, ceiling float64) int {
	var worst int
	synctest.Test(t, func(*testing.T) {
		h := &herd{}
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
			wg.Go(func() { h.loop(ctx, b) })
		}
		wg.Wait()
		worst = h.worst() + watches
	})
	return worst
}

func TestHerdStaysBelowCeiling(t *testing.T) {
	for _, fleetSize := range []int{3, 20, 160, 300, 1000, 5200} {
		const ceiling = 2000
		if worst := runHerd(t, fleetSize, ceiling); worst > ceiling {
			t.Errorf("%d daemons: %d calls in a second, at most %d are allowed", fleetSize, worst, ceiling)
		}
	}
}

func TestHerdStaysBelowAnyCeiling(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fleetSize := rapid.IntRange(1, 400).Draw(rt, "fleetSize")
		ceiling := rapid.IntRange(100, 3000).Draw(rt, "ceiling")
		if worst := runHerd(t, fleetSize, float64(ceiling)); worst > ceiling {
			rt.Fatalf("%d calls in a second", worst)
		}
	})
}

func TestBudgetGivesUpWithItsContext(t *testing.T) {
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
			t.Errorf("%v: waits that were given up took later slots", err)
		}
	})
}
