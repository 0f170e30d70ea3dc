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

// Parameters of the comparison.
const (
	compareSlots   = 6
	compareDaemons = 8
	compareService = 10 * time.Millisecond
	compareTime    = 20 * time.Second
	slowedPeriod   = 5 * time.Second
)

// scenario describes the targets, their load and their slowdowns.
type scenario struct {
	near, far int
	// load is the demand as a fraction of the capacity of the near targets.
	load float64
	// slowed is the number of targets that are ten times slower; each slowedPeriod
	// slows other targets.
	slowed int
	// lag is the maximum age of the reports of queue and slots.
	lag time.Duration
}

// event is a function to run at a virtual time.
type event struct {
	at  time.Duration
	run func()
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

// fakeTarget is a simulated target with slots and a queue.
type fakeTarget struct {
	vm         ffmember.VM
	busy       int
	queue      []func()
	reported   ffcall.Load
	reportedAt time.Duration
}

// simulation runs choosers against simulated targets in virtual time.
type simulation struct {
	scenario
	rand      *rand.Rand
	now       time.Duration
	events    events
	targets   map[string]*fakeTarget
	view      []ffmember.VM
	latencies []time.Duration
}

func (s *simulation) after(d time.Duration, run func()) {
	heap.Push(&s.events, event{at: s.now + d, run: run})
}

// compare runs a scenario and returns the median and the 99th percentile of the
// latency.
func compare(s scenario, off Switches) (p50, p99 time.Duration) {
	sim := &simulation{scenario: s, rand: rand.New(rand.NewPCG(594, 1)), targets: make(map[string]*fakeTarget)}
	sim.view = slices.Concat(targets(s.near, "palermo"), targets(s.far, "catania"))
	for _, vm := range sim.view {
		sim.targets[vm.Name] = &fakeTarget{vm: vm}
	}
	var choosers []*Chooser
	for i := range compareDaemons {
		draws := rand.New(rand.NewPCG(594, uint64(i)))
		choosers = append(choosers, &Chooser{Self: string(rune('a' + i)), DataCentre: "palermo", Rand: draws.Uint64, Off: off})
	}
	sim.arrive(choosers)
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.run()
	}
	slices.Sort(sim.latencies)
	return sim.latencies[len(sim.latencies)/2], sim.latencies[len(sim.latencies)*99/100]
}

// arrive starts a call and schedules the next.
func (s *simulation) arrive(choosers []*Chooser) {
	if s.now > compareTime {
		return
	}
	s.call(choosers[s.rand.IntN(len(choosers))])
	rate := s.load * float64(s.near*compareSlots) / compareService.Seconds()
	s.after(time.Duration(s.rand.ExpFloat64()/rate*float64(time.Second)), func() { s.arrive(choosers) })
}

func (s *simulation) call(c *Chooser) {
	start := s.now
	vm, err := c.Choose("prenota", ffconfig.ClassShort, epoch.Add(s.now), s.view)
	if err != nil {
		panic(err)
	}
	c.Started(vm.Name, ffconfig.ClassShort, epoch.Add(s.now))
	oneWay := 100 * time.Microsecond
	if vm.DataCentre != "palermo" {
		oneWay += 1500 * time.Microsecond
	}
	t := s.targets[vm.Name]
	s.after(oneWay, func() {
		t.queue = append(t.queue, func() {
			load := s.report(t)
			s.after(oneWay, func() {
				latency := s.now - start
				s.latencies = append(s.latencies, latency)
				c.Finished(vm.Name, epoch.Add(s.now), Result{Latency: latency, Load: load})
			})
		})
		s.serve(t)
	})
}

// serve starts queued calls on free slots.
func (s *simulation) serve(t *fakeTarget) {
	for t.busy < compareSlots && len(t.queue) > 0 {
		done := t.queue[0]
		t.queue = t.queue[1:]
		t.busy++
		s.after(time.Duration(s.rand.ExpFloat64()*float64(s.service(t))), func() {
			t.busy--
			done()
			s.serve(t)
		})
	}
}

// service returns the mean service time of a target.
func (s *simulation) service(t *fakeTarget) time.Duration {
	first := int(s.now/slowedPeriod) * 3
	for i := range s.slowed {
		if t.vm == s.view[(first+i)%len(s.view)] {
			return 10 * compareService
		}
	}
	return compareService
}

// report returns the load report of a target, which may be up to lag old.
func (s *simulation) report(t *fakeTarget) ffcall.Load {
	if s.now-t.reportedAt >= s.lag {
		t.reported = ffcall.Load{VM: t.vm.Name, FreeSlots: compareSlots - t.busy, QueuedShort: len(t.queue)}
		t.reportedAt = s.now
	}
	return t.reported
}

func TestEachPolicyReducesTailLatency(t *testing.T) {
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
		{"slowed, no load", slowed, Switches{NoLoadReports: true}},
		{"slowed, no shunning", slowed, Switches{NoOutlierEjection: true}},
		{"lagging, round robin", lagging, Switches{RoundRobin: true}},
		{"lagging, no load", lagging, Switches{NoLoadReports: true}},
		{"lagging, no shunning", lagging, Switches{NoOutlierEjection: true}},
		{"crest, round robin", crest, Switches{RoundRobin: true}},
		{"crest, no load", crest, Switches{NoLoadReports: true}},
		{"crowded, no spill", crowded, Switches{NoSpill: true}},
	} {
		onMedian, on := compare(c.s, Switches{})
		offMedian, off := compare(c.s, c.off)
		t.Logf("%s: p50 %s p99 %s, with all policies p50 %s p99 %s", c.name, round(offMedian), round(off), round(onMedian), round(on))
		if off < on {
			t.Errorf("%s: p99 is lower without the policy", c.name)
		}
	}
}

func TestSlowTargetsBarelyIncreaseTailLatency(t *testing.T) {
	_, base := compare(scenario{near: 8, load: 0.5}, Switches{})
	_, slowed := compare(scenario{near: 8, load: 0.5, slowed: 2}, Switches{})
	t.Logf("p99 %s with slowed targets, %s with none", round(slowed), round(base))
	if slowed > 2*base {
		t.Errorf("p99 is %s with slowed targets, %s with none", slowed, base)
	}
}

func round(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }
