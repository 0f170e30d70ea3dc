package ffbalance

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// Weights of a new sample in the running averages.
const (
	latencyWeight = 0.2
	failureWeight = 0.25
)

// Half-lives after which a fact counts half.
const (
	loadHalfLife    = 250 * time.Millisecond
	latencyHalfLife = 5 * time.Second
)

// leavingPeriod is the time for which the word of a leaving target overrides the view.
const leavingPeriod = 10 * time.Second

// defaultSlots is assumed of a target that has told nothing yet.
const defaultSlots = 8

const classes = int(ffconfig.ClassLong) + 1

// classFacts is what is known of one class of work at one target.
type classFacts struct {
	inFlight int
	// progressAt is the last time when an attempt ended, or when the first of
	// those in flight started.
	progressAt time.Time
	// latency is the running average, in nanoseconds; zero when nothing is known.
	latency float64
	// sampledAt is the time of the last sample.
	sampledAt time.Time
}

// facts is what this daemon knows of one target.
type facts struct {
	group atomic.Pointer[group]

	mu      sync.Mutex
	classes [classes]classFacts
	// load is what the target told at loadAt, when inFlightAtLoad attempts of
	// this daemon were in flight there.
	load           ffcall.Load
	loadAt         time.Time
	inFlightAtLoad int
	slots          int
	failures       float64
	leavingUntil   time.Time
	shun           shun
}

func (f *facts) inFlight() int {
	n := 0
	for i := range f.classes {
		n += f.classes[i].inFlight
	}
	return n
}

// started counts an attempt.
func (f *facts) started(class ffconfig.Class, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := &f.classes[class]
	if c.inFlight == 0 {
		c.progressAt = now
	}
	c.inFlight++
}

// finished takes in the end of an attempt.
func (f *facts) finished(r Result, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := &f.classes[r.Class]
	c.inFlight = max(c.inFlight-1, 0)
	if !r.Failed || r.Kind != ffcall.KindCancelled {
		c.progressAt = now
	}
	f.learn(r.Load, now)
	f.sample(c, r, now)
	f.shun.judge(f, r)
	if r.Failed && r.Kind == ffcall.KindLeaving {
		f.leavingUntil = now.Add(leavingPeriod)
	}
}

// learn takes in what the target told of its queue and slots.
func (f *facts) learn(load ffcall.Load, now time.Time) {
	if load.VM == "" {
		return
	}
	if load.Incarnation != f.load.Incarnation {
		f.slots, f.failures, f.leavingUntil = 0, 0, time.Time{}
	}
	f.load = load
	f.loadAt = now
	f.inFlightAtLoad = f.inFlight()
	f.slots = max(f.slots, load.FreeSlots)
}

// sample adds the attempt to the averages.
func (f *facts) sample(c *classFacts, r Result, now time.Time) {
	fault := 0.0
	if r.faulty() {
		fault = 1
	}
	if r.faulty() || r.timed() {
		f.failures += failureWeight * (fault - f.failures)
	}
	latency := float64(r.Latency)
	if !r.timed() && !(r.bounded() && latency > c.latency) {
		return
	}
	if c.latency == 0 {
		c.latency = latency
	}
	c.latency += latencyWeight * (latency - c.latency)
	c.sampledAt = now
}

// expectedLatency returns the latency of a class without regard to the queue, in
// nanoseconds: the average, fading towards usual, and at least the time for
// which the target has been silent.
func (f *facts) expectedLatency(class ffconfig.Class, usual float64, now time.Time) float64 {
	c := &f.classes[class]
	latency := usual
	if c.latency > 0 {
		latency += (c.latency - usual) * fade(now.Sub(c.sampledAt), latencyHalfLife)
	}
	if c.inFlight > 0 {
		latency = max(latency, float64(now.Sub(c.progressAt)))
	}
	return latency
}

// backlog returns the calls that wait ahead of a new one; negative when slots are free.
func (f *facts) backlog(class ffconfig.Class, now time.Time) float64 {
	inFlight := f.inFlight()
	own := float64(inFlight - f.knownSlots())
	if f.loadAt.IsZero() {
		return own
	}
	queued := f.load.QueuedShort
	if class == ffconfig.ClassLong {
		queued = f.load.QueuedLong
	}
	told := float64(queued - f.load.FreeSlots + inFlight - f.inFlightAtLoad)
	trust := fade(now.Sub(f.loadAt), loadHalfLife)
	// What is in flight from here is certain, however late the target admits its queue.
	return max(trust*told+(1-trust)*own, own)
}

func (f *facts) knownSlots() int {
	if f.slots == 0 {
		return defaultSlots
	}
	return f.slots
}

// fade returns the weight of a fact of this age.
func fade(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}
