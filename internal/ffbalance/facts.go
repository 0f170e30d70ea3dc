package ffbalance

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// Weights of a new sample in the moving averages.
const (
	latencyWeight = 0.2
	failureWeight = 0.25
)

// Half-lives of the weight of a load report and of a latency average.
const (
	loadHalfLife    = 250 * time.Millisecond
	latencyHalfLife = 5 * time.Second
)

// leavingPeriod is the time for which a target that refused a call because it is
// leaving is not eligible, even if the view still lists it as live.
const leavingPeriod = 10 * time.Second

// defaultSlots is the assumed number of slots of a target that has reported none yet.
const defaultSlots = 8

const classes = int(ffconfig.ClassLong) + 1

// classStats holds the statistics of one class of calls at one target.
type classStats struct {
	inFlight int
	// progressAt is the last time when an attempt ended other than by cancellation,
	// or started while none was in flight.
	progressAt time.Time
	// latency is the moving average, in nanoseconds; zero if there is no sample.
	latency float64
	// sampledAt is the time of the last latency sample.
	sampledAt time.Time
}

// targetStats holds this daemon's statistics of one target.
type targetStats struct {
	group atomic.Pointer[group]

	mu      sync.Mutex
	classes [classes]classStats
	// load is the last report of the target, received at loadAt, when
	// inFlightAtLoad attempts of this daemon were in flight there.
	load           ffcall.Load
	loadAt         time.Time
	inFlightAtLoad int
	// slots is the highest number of free slots reported; zero if none was.
	slots int
	// failures is the moving average of the share of attempts with a target fault.
	failures     float64
	leavingUntil time.Time
	ejection     ejection
}

func (t *targetStats) inFlight() int {
	n := 0
	for i := range t.classes {
		n += t.classes[i].inFlight
	}
	return n
}

// started counts the start of an attempt.
func (t *targetStats) started(class ffconfig.Class, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &t.classes[class]
	if c.inFlight == 0 {
		c.progressAt = now
	}
	c.inFlight++
}

// finished records the end of an attempt.
func (t *targetStats) finished(r Result, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &t.classes[r.Class]
	c.inFlight = max(c.inFlight-1, 0)
	if !r.Failed || r.Kind != ffcall.KindCancelled {
		c.progressAt = now
	}
	t.recordLoad(r.Load, now)
	t.recordSample(c, r, now)
	t.ejection.recordResult(t, r)
	if r.Failed && r.Kind == ffcall.KindLeaving {
		t.leavingUntil = now.Add(leavingPeriod)
	}
}

// recordLoad stores a report of the target's queue and slots. A new incarnation
// of the target resets its slots, failures and leaving state.
func (t *targetStats) recordLoad(load ffcall.Load, now time.Time) {
	if load.VM == "" {
		return
	}
	if load.Incarnation != t.load.Incarnation {
		t.slots, t.failures, t.leavingUntil = 0, 0, time.Time{}
	}
	t.load = load
	t.loadAt = now
	t.inFlightAtLoad = t.inFlight()
	t.slots = max(t.slots, load.FreeSlots)
}

// recordSample adds the attempt to the averages of failures and latency.
func (t *targetStats) recordSample(c *classStats, r Result, now time.Time) {
	fault := 0.0
	if r.isTargetFault() {
		fault = 1
	}
	if r.isTargetFault() || r.isSample() {
		t.failures += failureWeight * (fault - t.failures)
	}
	latency := float64(r.Latency)
	if !r.isSample() && !(r.isLowerBound() && latency > c.latency) {
		return
	}
	if c.latency == 0 {
		c.latency = latency
	}
	c.latency += latencyWeight * (latency - c.latency)
	c.sampledAt = now
}

// expectedLatency returns the latency of a class without the queue, in
// nanoseconds: the average, decaying towards baseline, but at least the time
// without progress while attempts are in flight.
func (t *targetStats) expectedLatency(class ffconfig.Class, baseline float64, now time.Time) float64 {
	c := &t.classes[class]
	latency := baseline
	if c.latency > 0 {
		latency += (c.latency - baseline) * decay(now.Sub(c.sampledAt), latencyHalfLife)
	}
	if c.inFlight > 0 {
		latency = max(latency, float64(now.Sub(c.progressAt)))
	}
	return latency
}

// backlog returns the number of calls queued ahead of a new one; negative when
// slots are free.
func (t *targetStats) backlog(class ffconfig.Class, now time.Time) float64 {
	inFlight := t.inFlight()
	ownBacklog := float64(inFlight - t.slotCount())
	if t.loadAt.IsZero() {
		return ownBacklog
	}
	queued := t.load.QueuedShort
	if class == ffconfig.ClassLong {
		queued = t.load.QueuedLong
	}
	reportedBacklog := float64(queued - t.load.FreeSlots + inFlight - t.inFlightAtLoad)
	weight := decay(now.Sub(t.loadAt), loadHalfLife)
	// The attempts in flight from this daemon are a lower bound even if the
	// target's report is out of date.
	return max(weight*reportedBacklog+(1-weight)*ownBacklog, ownBacklog)
}

func (t *targetStats) slotCount() int {
	if t.slots == 0 {
		return defaultSlots
	}
	return t.slots
}

// decay returns the weight of a value of the given age.
func decay(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}
