package ffbalance

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// Shape of the comparison.
const (
	compareSlots   = 6
	compareEntries = 8
	compareService = 10 * time.Millisecond
	compareTime    = 20 * time.Second
	slowedPeriod   = 5 * time.Second
)

// scenario is a load and what is slow about the targets.
type scenario struct {
	near, far int
	// load is the demand as a share of what the near targets can do.
	load float64
	// slowed is the number of targets that are ten times slower, others each period.
	slowed int
	// lag is the age that reports of queue and slots may reach.
	lag time.Duration
}

// event is something that happens at a time.
type event struct {
	at   time.Duration
	what func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// fakeTarget has slots and a queue.
type fakeTarget struct {
	vm         ffmember.VM
	busy       int
	queue      []func()
	reported   ffcall.Load
	reportedAt time.Duration
}

// bench runs choosers against targets in virtual time.
type bench struct {
	scenario
	rand      *rand.Rand
	now       time.Duration
	events    events
	targets   map[string]*fakeTarget
	view      []ffmember.VM
	latencies []time.Duration
}

func (b *bench) after(d time.Duration, what func()) {
	heap.Push(&b.events, event{at: b.now + d, what: what})
}

// compare returns the median and the 99th percentile of latency.
func compare(s scenario, off Switches) (p50, p99 time.Duration) {
	b := &bench{scenario: s, rand: rand.New(rand.NewPCG(594, 1)), targets: make(map[string]*fakeTarget)}
	b.view = slices.Concat(targets(s.near, "palermo"), targets(s.far, "catania"))
	for _, vm := range b.view {
		b.targets[vm.Name] = &fakeTarget{vm: vm}
	}
	var choosers []*Chooser
	for i := range compareEntries {
		draws := rand.New(rand.NewPCG(594, uint64(i)))
		choosers = append(choosers, &Chooser{Entry: string(rune('a' + i)), DataCentre: "palermo", Draw: draws.Uint64, Off: off})
	}
	b.arrive(choosers)
	for len(b.events) > 0 {
		e := heap.Pop(&b.events).(event)
		b.now = e.at
		e.what()
	}
	slices.Sort(b.latencies)
	return b.latencies[len(b.latencies)/2], b.latencies[len(b.latencies)*99/100]
}

// arrive starts a call and plans the next.
func (b *bench) arrive(choosers []*Chooser) {
	if b.now > compareTime {
		return
	}
	b.call(choosers[b.rand.IntN(len(choosers))])
	rate := b.load * float64(b.near*compareSlots) / compareService.Seconds()
	b.after(time.Duration(b.rand.ExpFloat64()/rate*float64(time.Second)), func() { b.arrive(choosers) })
}

func (b *bench) call(c *Chooser) {
	start := b.now
	vm, err := c.Choose("prenota", ffconfig.ClassShort, epoch.Add(b.now), b.view)
	if err != nil {
		panic(err)
	}
	c.Started(vm.Name, ffconfig.ClassShort, epoch.Add(b.now))
	oneWay := 100 * time.Microsecond
	if vm.DataCentre != "palermo" {
		oneWay += 1500 * time.Microsecond
	}
	t := b.targets[vm.Name]
	b.after(oneWay, func() {
		t.queue = append(t.queue, func() {
			load := b.report(t)
			b.after(oneWay, func() {
				latency := b.now - start
				b.latencies = append(b.latencies, latency)
				c.Finished(vm.Name, epoch.Add(b.now), Result{Latency: latency, Load: load})
			})
		})
		b.serve(t)
	})
}

// serve gives free slots to calls that wait.
func (b *bench) serve(t *fakeTarget) {
	for t.busy < compareSlots && len(t.queue) > 0 {
		done := t.queue[0]
		t.queue = t.queue[1:]
		t.busy++
		b.after(time.Duration(b.rand.ExpFloat64()*float64(b.service(t))), func() {
			t.busy--
			done()
			b.serve(t)
		})
	}
}

// service returns the mean time that a target takes for a call.
func (b *bench) service(t *fakeTarget) time.Duration {
	first := int(b.now/slowedPeriod) * 3
	for i := range b.slowed {
		if t.vm == b.view[(first+i)%len(b.view)] {
			return 10 * compareService
		}
	}
	return compareService
}

// report returns what the target tells, up to lag old.
func (b *bench) report(t *fakeTarget) ffcall.Load {
	if b.now-t.reportedAt >= b.lag {
		t.reported = ffcall.Load{VM: t.vm.Name, FreeSlots: compareSlots - t.busy, QueuedShort: len(t.queue)}
		t.reportedAt = b.now
	}
	return t.reported
}

func TestEachPolicyShortensTheTail(t *testing.T) {
	slowed := scenario{near: 8, load: 0.5, slowed: 2}
	lagging := scenario{near: 8, load: 0.5, slowed: 2, lag: 500 * time.Millisecond}
	crest := scenario{near: 8, load: 0.95}
	crowded := scenario{near: 3, far: 5, load: 1.5}
	for _, c := range []struct {
		name string
		s    scenario
		off  Switches
	}{
		{"slowed, round robin", slowed, Switches{RoundRobin: true}},
		{"slowed, no load", slowed, Switches{NoLoad: true}},
		{"slowed, no shunning", slowed, Switches{NoShunning: true}},
		{"lagging, round robin", lagging, Switches{RoundRobin: true}},
		{"lagging, no load", lagging, Switches{NoLoad: true}},
		{"lagging, no shunning", lagging, Switches{NoShunning: true}},
		{"crest, round robin", crest, Switches{RoundRobin: true}},
		{"crest, no load", crest, Switches{NoLoad: true}},
		{"crowded, no spill", crowded, Switches{NoSpill: true}},
	} {
		onMedian, on := compare(c.s, Switches{})
		offMedian, off := compare(c.s, c.off)
		t.Logf("%s: p50 %s p99 %s, with all policies p50 %s p99 %s", c.name, round(offMedian), round(off), round(onMedian), round(on))
		if off < on {
			t.Errorf("%s: the tail is shorter without the policy", c.name)
		}
	}
}

func TestSlowedTargetsHardlyLengthenTheTail(t *testing.T) {
	_, base := compare(scenario{near: 8, load: 0.5}, Switches{})
	_, slowed := compare(scenario{near: 8, load: 0.5, slowed: 2}, Switches{})
	t.Logf("p99 %s with slowed targets, %s with none", round(slowed), round(base))
	if slowed > 2*base {
		t.Errorf("p99 is %s with slowed targets, %s with none", slowed, base)
	}
}

func round(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }
