package ffbalance

import (
	"fmt"
	"math"
	"slices"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "fireflyfall.dev/fireflyfall/internal/ffseed" // fixes the seed

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func targets(n int, dataCentre string) []ffmember.VM {
	var view []ffmember.VM
	for i := range n {
		view = append(view, ffmember.VM{Name: fmt.Sprintf("%s-%d", dataCentre, i), DataCentre: dataCentre, Service: "prenota"})
	}
	return view
}

func TestChoosesOnlyLiveTargetsThatAreNotExcluded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &Chooser{Self: "palermo-0", DataCentre: "palermo"}
		now := epoch
		view := slices.Concat(targets(rapid.IntRange(0, 40).Draw(t, "near"), "palermo"), targets(rapid.IntRange(0, 40).Draw(t, "far"), "catania"))
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "millis")) * time.Millisecond)
			if rapid.Bool().Draw(t, "churn") {
				view = slices.Clone(view)
				for i := range view {
					view[i].State = rapid.SampledFrom([]ffmember.State{ffmember.StateLive, ffmember.StateLive, ffmember.StateLeaving, ffmember.StateGone}).Draw(t, "state")
				}
			}
			var exclude []string
			for _, vm := range view {
				if rapid.IntRange(0, 3).Draw(t, "exclude") == 0 {
					exclude = append(exclude, vm.Name)
				}
			}
			vm, err := c.Choose("prenota", ffconfig.ClassShort, now, view, exclude...)
			i := slices.IndexFunc(view, func(v ffmember.VM) bool { return v.Name == vm.Name })
			allowed := func(v ffmember.VM) bool {
				return v.State == ffmember.StateLive && !slices.Contains(exclude, v.Name)
			}
			if err != nil {
				if len(view) <= minSubset && slices.ContainsFunc(view, allowed) {
					t.Fatalf("Choose failed although a target is allowed: %v", err)
				}
				continue
			}
			if i < 0 || !allowed(view[i]) {
				t.Fatalf("chose %+v", vm)
			}
			c.Started(vm.Name, ffconfig.ClassShort, now)
			kind := ffcall.Kind(rapid.IntRange(0, int(ffcall.KindCancelled)).Draw(t, "kind"))
			c.Finished(vm.Name, now, Result{Failed: rapid.Bool().Draw(t, "failed"), Kind: kind, Latency: time.Millisecond})
		}
	})
}

// With fresh load reports of all targets, the shorter queue of the two drawn
// targets must be chosen. Counts may deviate by five standard deviations.
func TestChoosesShorterQueueOfTwoRandomTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 8
		view := targets(n, "palermo")
		c := &Chooser{DataCentre: "palermo"}
		queueLengths := make(map[string]int, n)
		for i, vm := range view {
			queued := rapid.IntRange(0, 30).Draw(t, "queued")*n + i // all differ
			queueLengths[vm.Name] = queued
			c.RecordLoad(ffcall.Load{VM: vm.Name, QueuedShort: queued}, epoch)
		}
		counts := make(map[string]int, n)
		const draws = 2000
		for range draws {
			vm, err := c.Choose("prenota", ffconfig.ClassShort, epoch, view)
			if err != nil {
				t.Fatal(err)
			}
			counts[vm.Name]++
		}
		slices.SortFunc(view, func(a, b ffmember.VM) int { return queueLengths[a.Name] - queueLengths[b.Name] })
		for i, vm := range view {
			// The target at position i is chosen over the n-1-i targets after it.
			want := float64(draws) * 2 * float64(n-1-i) / (n * (n - 1))
			if got := float64(counts[vm.Name]); math.Abs(got-want) > 5*math.Sqrt(want) {
				t.Fatalf("the target at position %d received %.0f calls, want about %.0f", i, got, want)
			}
		}
	})
}

func TestAtMostOneThirdIsEjectedAndAllRecover(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 24).Draw(t, "targets")
		bad := rapid.IntRange(0, n).Draw(t, "bad")
		view := targets(n, "palermo")
		c := &Chooser{DataCentre: "palermo"}
		now := epoch
		lastCall := make(map[string]time.Time)
		run := func(calls int, failing int) {
			for range calls {
				now = now.Add(5 * time.Millisecond)
				vm, _ := c.Choose("prenota", ffconfig.ClassShort, now, view)
				c.Started(vm.Name, ffconfig.ClassShort, now)
				index := slices.Index(view, vm)
				c.Finished(vm.Name, now, Result{Failed: index < failing, Kind: ffcall.KindNoResponse, Latency: 10 * time.Millisecond})
				lastCall[vm.Name] = now
			}
		}
		run(2000, bad)
		g := c.groupOf("prenota", view)
		if ejected := n - set(g.eligible.Load()).size(); ejected > n/targetsPerEjection {
			t.Fatalf("%d of %d targets are ejected", ejected, n)
		}
		run(20_000, 0)
		if set(g.eligible.Load()).size() != n {
			t.Fatalf("only %d of %d targets have recovered", set(g.eligible.Load()).size(), n)
		}
		for _, vm := range view {
			if now.Sub(lastCall[vm.Name]) > 10*time.Second {
				t.Fatalf("%s received no calls in the last 10 s", vm.Name)
			}
		}
	})
}

func TestSilentTargetIsEjectedBeforeAnyAttemptEnds(t *testing.T) {
	view := targets(8, "palermo")
	c := &Chooser{DataCentre: "palermo"}
	now, toSilent := epoch, 0
	for i := range 4000 {
		now = now.Add(time.Millisecond)
		vm, _ := c.Choose("prenota", ffconfig.ClassShort, now, view)
		c.Started(vm.Name, ffconfig.ClassShort, now)
		if vm == view[3] && i > 1000 {
			toSilent++
			continue
		}
		c.Finished(vm.Name, now, Result{Latency: 2 * time.Millisecond})
	}
	if got := c.Ejected(); !slices.Equal(got, []string{view[3].Name}) {
		t.Fatalf("ejected targets: %v", got)
	}
	if toSilent > 12 {
		t.Fatalf("%d calls went to a target that was silent for 3 s", toSilent)
	}
}

func TestSpillsToOtherDataCentreOnlyWhenQueueCostsMore(t *testing.T) {
	view := slices.Concat(targets(3, "palermo"), targets(3, "catania"))
	remoteCalls := func(queued int, off Switches) int {
		c := &Chooser{DataCentre: "palermo", Off: off}
		for _, vm := range view[:3] {
			c.Finished(vm.Name, epoch, Result{Latency: 4 * time.Millisecond, Load: ffcall.Load{VM: vm.Name, QueuedShort: queued}})
		}
		n := 0
		for range 100 {
			vm, _ := c.Choose("prenota", ffconfig.ClassShort, epoch, view)
			if vm.DataCentre == "catania" {
				n++
			}
		}
		return n
	}
	if n := remoteCalls(0, Switches{}); n != 0 {
		t.Fatalf("%d of 100 calls left a data centre without a queue", n)
	}
	if n := remoteCalls(80, Switches{}); n != 100 {
		t.Fatalf("%d of 100 calls left a data centre with a long queue", n)
	}
	if n := remoteCalls(80, Switches{NoSpill: true}); n != 0 {
		t.Fatalf("%d of 100 calls left the data centre although spilling is disabled", n)
	}
}

func TestSubsetsSpreadConnectionsEvenly(t *testing.T) {
	const daemons, size = 400, 5
	view := targets(40, "palermo")
	calls := make(map[string]int)
	for i := range daemons {
		c := &Chooser{Self: fmt.Sprintf("entry-%d", i), DataCentre: "palermo"}
		for _, m := range c.newGroup("prenota", view, size).members {
			calls[m.vm.Name]++
		}
	}
	for _, vm := range view {
		if want := daemons * size / len(view); calls[vm.Name] < want/2 || calls[vm.Name] > want*2 {
			t.Fatalf("%s is called by %d daemons, want about %d", vm.Name, calls[vm.Name], want)
		}
	}
}

func TestChooserIsSafeForConcurrentUse(t *testing.T) {
	c := &Chooser{DataCentre: "palermo"}
	var wg sync.WaitGroup
	for i := range 8 {
		view := targets(4+i%3, "palermo")
		wg.Go(func() {
			for j := range 2000 {
				now := epoch.Add(time.Duration(j) * time.Millisecond)
				vm, err := c.Choose("prenota", ffconfig.ClassShort, now, view)
				if err != nil {
					t.Error(err)
					return
				}
				c.Started(vm.Name, ffconfig.ClassShort, now)
				c.Finished(vm.Name, now, Result{Failed: j%7 == 0, Latency: time.Millisecond, Load: ffcall.Load{VM: vm.Name, FreeSlots: j % 10}})
			}
		})
	}
	wg.Wait()
}

func BenchmarkChoose(b *testing.B) {
	view := slices.Concat(targets(8, "palermo"), targets(16, "catania"))
	c := &Chooser{DataCentre: "palermo"}
	now := time.Now()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			vm, _ := c.Choose("prenota", ffconfig.ClassShort, now, view)
			c.Started(vm.Name, ffconfig.ClassShort, now)
			c.Finished(vm.Name, now, Result{Latency: time.Millisecond, Load: ffcall.Load{VM: vm.Name, FreeSlots: 5}})
		}
	})
}
