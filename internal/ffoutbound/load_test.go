package ffoutbound

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
	"fireflyfall.dev/fireflyfall/internal/ffmesh"
)

// loadScript is a load on a fleet of which each entry uses a part.
type loadScript struct {
	Entries, Targets, DataCentres, Slots int
	// Speeds are those of the targets, in turn.
	Speeds []float64
	// MeanMs is the mean work of a call at speed 1, and Spread the sigma of its logarithm.
	MeanMs, Spread float64
	// HeartbeatMs is the interval at which an entry hears of a target that it uses.
	HeartbeatMs int
	ObjectiveMs int
	// FirstShare is the share of the calls that begin in the first data centre; as many as
	// anywhere if 0.
	FirstShare float64
	Phases     []loadPhase
}

// loadPhase is a time of constant load.
type loadPhase struct {
	Seconds float64
	// Load is the work that arrives, as a share of what all slots together can do.
	Load float64
}

// simTarget is a target with its gate.
type simTarget struct {
	target  fffleet.Target
	speed   float64
	running int
	queue   []*simCall
	typical time.Duration
	lastRun time.Time
}

// load returns what the gate reports. A service time that is old fades, as at the gate.
func (t *simTarget) load(now time.Time) ffmesh.Load {
	typical := float64(t.typical)
	if stale := now.Sub(t.lastRun) - time.Second; stale > 0 {
		typical *= math.Exp(-stale.Seconds() / 2)
	}
	return ffmesh.Load{Target: t.target.ID, Running: t.running, Queued: len(t.queue), Slots: t.target.Slots, Typical: time.Duration(typical)}
}

// simCall is a call on its way.
type simCall struct {
	entry   *Picker
	target  *simTarget
	arrived time.Time
	started time.Time
	work    time.Duration
	phase   int
}

// simEvent happens at a time.
type simEvent struct {
	at time.Time
	do func()
}

type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation plays a script with a virtual clock.
type simulation struct {
	script loadScript
	// pick chooses the target of a call.
	pick    func(e *Picker, c *ffmesh.Call) fffleet.Target
	rand    *rand.Rand
	now     time.Time
	events  simEvents
	fleet   fffleet.Fleet
	targets map[string]*simTarget
	entries []*Picker
	// took holds the time of each call by phase, and crossed the number of calls that went to
	// another data centre.
	took    [][]time.Duration
	crossed []int
}

func newSimulation(s loadScript) *simulation {
	sim := &simulation{script: s, rand: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1000, 0), targets: make(map[string]*simTarget)}
	var all []fffleet.Target
	for i := range s.Targets {
		vm := netip.AddrFrom4([4]byte{10, byte(i % s.DataCentres), byte(i >> 8), byte(i)})
		t := fffleet.Target{ID: fmt.Sprint("t", i), Service: "s", Address: netip.AddrPortFrom(vm, 1), DataCentre: fmt.Sprint("z", i%s.DataCentres), Slots: s.Slots}
		all = append(all, t)
		sim.targets[t.ID] = &simTarget{target: t, speed: s.Speeds[i/s.DataCentres%len(s.Speeds)], lastRun: sim.now}
	}
	sim.fleet = fffleet.New(all)
	for i := range s.Entries {
		vm := netip.AddrFrom4([4]byte{10, byte(i % s.DataCentres), byte(i >> 8), byte(i)})
		sim.entries = append(sim.entries, &Picker{Location: Location{VM: vm, DataCentre: fmt.Sprint("z", i%s.DataCentres)}, Loads: &LoadTracker{}})
	}
	sim.took, sim.crossed = make([][]time.Duration, len(s.Phases)), make([]int, len(s.Phases))
	return sim
}

func (s *simulation) after(d time.Duration, do func()) {
	heap.Push(&s.events, simEvent{s.now.Add(d), do})
}

// run plays the script to its end.
func (s *simulation) run() {
	for _, e := range s.entries {
		for _, t := range e.subset(s.fleet, "s") {
			s.heartbeats(e, s.targets[t.ID])
		}
	}
	at := time.Duration(0)
	for n, p := range s.script.Phases {
		s.after(at, func() { s.arrive(n, s.now.Add(time.Duration(p.Seconds*float64(time.Second)))) })
		at += time.Duration(p.Seconds * float64(time.Second))
	}
	end := s.now.Add(at)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		if s.now = e.at; s.now.After(end) {
			return
		}
		e.do()
	}
}

// heartbeats lets an entry hear of a target regularly.
func (s *simulation) heartbeats(e *Picker, t *simTarget) {
	interval := time.Duration(s.script.HeartbeatMs) * time.Millisecond
	var beat func()
	beat = func() {
		if t.typical > 0 || t.running > 0 {
			e.Loads.RecordHeartbeat(locationOf(t.target), t.load(s.now), false, s.now, time.Time{})
		}
		s.after(interval, beat)
	}
	s.after(time.Duration(s.rand.Int64N(int64(interval))), beat)
}

// capacity returns the calls per second that all slots together can serve.
func (s *simulation) capacity() float64 {
	speed := 0.0
	for _, t := range s.targets {
		speed += t.speed
	}
	return speed * float64(s.script.Slots) * 1000 / s.script.MeanMs
}

// arrive offers a call of a phase, and lets the next one arrive until the phase ends.
func (s *simulation) arrive(phase int, end time.Time) {
	if s.now.After(end) {
		return
	}
	rate := s.script.Phases[phase].Load * s.capacity()
	s.after(time.Duration(s.rand.ExpFloat64()/rate*float64(time.Second)), func() { s.arrive(phase, end) })
	e := s.entry()
	c := &ffmesh.Call{Service: "s", Deadline: s.now.Add(time.Minute)}
	if s.script.FirstShare > 0 {
		c.Objective = s.now.Add(time.Duration(s.script.ObjectiveMs) * time.Millisecond)
	}
	t := s.targets[s.pick(e, c).ID]
	if t.target.DataCentre != e.Location.DataCentre {
		s.crossed[phase]++
	}
	e.Loads.startCall(t.target.VM(), c)
	sigma := s.script.Spread
	work := s.script.MeanMs * math.Exp(s.rand.NormFloat64()*sigma-sigma*sigma/2) / t.speed
	call := &simCall{entry: e, target: t, arrived: s.now, work: time.Duration(work * float64(time.Millisecond)), phase: phase}
	if t.running < s.script.Slots {
		s.start(call)
		return
	}
	t.queue = append(t.queue, call)
}

// entry returns the entry at which a call begins. The entries of the first data centre are
// those whose index is a multiple of the number of data centres.
func (s *simulation) entry() *Picker {
	n := s.script.DataCentres
	i := s.rand.IntN(len(s.entries))
	if s.script.FirstShare == 0 {
		return s.entries[i]
	}
	centre := 0
	if s.rand.Float64() >= s.script.FirstShare {
		centre = 1 + s.rand.IntN(n-1)
	}
	return s.entries[i/n*n+centre]
}

func (s *simulation) start(c *simCall) {
	c.target.running++
	c.started = s.now
	s.after(c.work, func() { s.finish(c) })
}

func (s *simulation) finish(c *simCall) {
	t := c.target
	t.running--
	t.lastRun = s.now
	if t.typical == 0 {
		t.typical = s.now.Sub(c.started)
	}
	t.typical += (s.now.Sub(c.started) - t.typical) / 10
	if len(t.queue) > 0 {
		next := t.queue[0]
		t.queue = t.queue[1:]
		s.start(next)
	}
	c.entry.Loads.endCall(t.target.VM())
	c.entry.Loads.recordLoad(locationOf(t.target), t.load(s.now), s.now)
	took := s.now.Sub(c.arrived)
	if t.target.DataCentre != c.entry.Location.DataCentre {
		took += crossDataCentreCost
	}
	s.took[c.phase] = append(s.took[c.phase], took)
}

// pickRandom is the baseline: any of the targets that the entry uses.
func (s *simulation) pickRandom(e *Picker, _ *ffmesh.Call) fffleet.Target {
	used := e.subset(s.fleet, "s")
	return used[s.rand.IntN(len(used))]
}

// pickCheapest is the choice of the product.
func (s *simulation) pickCheapest(e *Picker, c *ffmesh.Call) fffleet.Target {
	choice, _ := e.Pick(s.fleet, c, nil, s.now)
	return choice.Target
}

// TestLoads plays the loads in testdata against the choice of targets and against a random
// choice, which must be worse in every phase.
func TestLoads(t *testing.T) {
	files, err := filepath.Glob("testdata/loads/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("no test data: %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			b, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			var script loadScript
			if err := json.Unmarshal(b, &script); err != nil {
				t.Fatal(err)
			}
			baseline, sim := newSimulation(script), newSimulation(script)
			baseline.pick, sim.pick = baseline.pickRandom, sim.pickCheapest
			baseline.run()
			sim.run()
			for n, p := range script.Phases {
				random, got := sumUp(baseline.took[n], script), sumUp(sim.took[n], script)
				t.Logf("phase %d, load %.2f: %v, random choice %v", n, p.Load, got, random)
				if got.mean >= random.mean || got.inObjective <= random.inObjective {
					t.Errorf("phase %d: %v, not better than a random choice, %v", n, got, random)
				}
			}
		})
	}
}

// summary sums up the times of the calls of a phase.
type summary struct {
	calls       int
	mean, p99   time.Duration
	inObjective float64
}

func sumUp(took []time.Duration, script loadScript) summary {
	s := summary{calls: len(took)}
	if s.calls == 0 {
		return s
	}
	objective := time.Duration(script.ObjectiveMs) * time.Millisecond
	slices.Sort(took)
	within, sum := 0, time.Duration(0)
	for _, d := range took {
		sum += d
		if d <= objective {
			within++
		}
	}
	s.mean, s.p99 = sum/time.Duration(s.calls), took[s.calls*99/100]
	s.inObjective = float64(within) / float64(s.calls)
	return s
}

// String implements fmt.Stringer.
func (s summary) String() string {
	return fmt.Sprintf("%d calls, mean %v, p99 %v, %.4f in the objective", s.calls, s.mean.Round(time.Millisecond), s.p99.Round(time.Millisecond), s.inObjective)
}
