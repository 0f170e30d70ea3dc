package ffqueue_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffqueue"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// scheduler is implemented by the queues that the simulation compares: Queue and fifo.
type scheduler interface {
	Push(now time.Time, it *item) (*item, error)
	Next(now time.Time) (*item, ffqueue.Decision)
	Release(it *item, used time.Duration)
}

// fifo is a bounded queue in order of arrival, without classes, shares or deadlines.
type fifo struct {
	limits  ffqueue.Limits
	waiting []*item
	inUse   int
}

func (q *fifo) Push(_ time.Time, it *item) (*item, error) {
	if len(q.waiting) >= q.limits.Length {
		return nil, &ffqueue.Error{Kind: ffqueue.KindFull}
	}
	q.waiting = append(q.waiting, it)
	return nil, nil
}

func (q *fifo) Next(time.Time) (*item, ffqueue.Decision) {
	if q.inUse >= q.limits.Slots || len(q.waiting) == 0 {
		return nil, ffqueue.DecisionWait
	}
	it := q.waiting[0]
	q.waiting = q.waiting[1:]
	q.inUse++
	return it, ffqueue.DecisionRun
}

func (q *fifo) Release(*item, time.Duration) { q.inUse-- }

// source is a customer that sends calls at random times with the given mean rate.
type source struct {
	customer  string
	class     ffconfig.Class
	share     int
	perSecond float64
	service   time.Duration
	timeout   time.Duration
}

// result holds the counts and waiting times of the calls of one source.
type result struct {
	sent, inTime int
	waits        []time.Duration
}

func (r *result) servedPercent() float64 { return 100 * float64(r.inTime) / float64(r.sent) }

func (r *result) p99() time.Duration {
	if len(r.waits) == 0 {
		return 0
	}
	slices.Sort(r.waits)
	return r.waits[len(r.waits)*99/100]
}

// event is the end of a call, or the next arrival from a source when call is nil.
type event struct {
	at     time.Time
	source int
	call   *item
	used   time.Duration
}

// simulation runs one queue and its target in virtual time.
type simulation struct {
	q         scheduler
	sources   []source
	results   []result
	estimator ffqueue.Estimator
	events    []event
	rnd       *rand.Rand
	arrivals  map[*item]time.Time
}

const (
	simulationSeed = 594
	simulatedTime  = 20 * time.Second
)

func simulate(q scheduler, sources ...source) []result {
	r := &simulation{q: q, sources: sources, results: make([]result, len(sources)), rnd: rand.New(rand.NewPCG(simulationSeed, simulationSeed)), arrivals: make(map[*item]time.Time)}
	for i := range sources {
		r.scheduleArrival(epoch, i)
	}
	for len(r.events) > 0 {
		r.step()
	}
	return r.results
}

// step processes the earliest event. A scan is enough: there is at most one event
// per source and one per slot.
func (r *simulation) step() {
	next := 0
	for i, e := range r.events {
		if e.at.Before(r.events[next].at) {
			next = i
		}
	}
	e := r.events[next]
	r.events = slices.Delete(r.events, next, next+1)
	if e.call == nil {
		r.handleArrival(e)
	} else {
		r.q.Release(e.call, e.used)
		r.estimator.Observe(e.at, e.call.Customer, e.used)
	}
	r.startCalls(e.at)
}

func (r *simulation) scheduleArrival(now time.Time, i int) {
	at := now.Add(time.Duration(r.rnd.ExpFloat64() / r.sources[i].perSecond * float64(time.Second)))
	if at.Before(epoch.Add(simulatedTime)) {
		r.events = append(r.events, event{at: at, source: i})
	}
}

func (r *simulation) handleArrival(e event) {
	s := r.sources[e.source]
	r.scheduleArrival(e.at, e.source)
	r.results[e.source].sent++
	it := &item{Customer: s.customer, Class: s.class, Share: s.share, Value: e.source, Deadline: e.at.Add(s.timeout), Estimate: r.estimator.Estimate(e.at, s.customer, s.class)}
	if _, err := r.q.Push(e.at, it); err == nil {
		r.arrivals[it] = e.at
	}
}

func (r *simulation) startCalls(now time.Time) {
	for {
		it, decision := r.q.Next(now)
		if decision == ffqueue.DecisionWait {
			return
		}
		if decision == ffqueue.DecisionLate {
			continue
		}
		s, res := r.sources[it.Value], &r.results[it.Value]
		used := time.Duration((0.5 + r.rnd.Float64()) * float64(s.service))
		res.waits = append(res.waits, now.Sub(r.arrivals[it]))
		if !now.Add(used).After(it.Deadline) {
			res.inTime++
		}
		r.events = append(r.events, event{at: now.Add(used), call: it, used: used})
	}
}

var (
	simulationLimits = ffqueue.Limits{Slots: 10, LongSlots: 4, Length: 200}
	steady           = source{customer: "steady", share: 1, perSecond: 100, service: 10 * time.Millisecond, timeout: 500 * time.Millisecond}
	flood            = source{customer: "flood", share: 1, perSecond: 5000, service: 10 * time.Millisecond, timeout: 500 * time.Millisecond}
	lookups          = source{customer: "lookups", share: 1, perSecond: 300, service: 10 * time.Millisecond, timeout: 500 * time.Millisecond}
	photos           = source{customer: "photos", share: 1, class: ffconfig.ClassLong, perSecond: 6, service: 2 * time.Second, timeout: 30 * time.Second}
)

func TestFloodDoesNotAffectCustomerWithinItsShare(t *testing.T) {
	got := simulate(ffqueue.New[int](simulationLimits), steady, flood)
	if served := got[0].servedPercent(); served < 99 {
		t.Errorf("%.2f%% of the small customer's calls are served, want 99%%", served)
	}
	if served := float64(got[1].inTime) / simulatedTime.Seconds(); served < 850 {
		t.Errorf("the flood gets %.0f calls/s, want at least 850", served)
	}
}

func TestSlotsAreDividedByShare(t *testing.T) {
	big := flood
	big.customer, big.share = "big", 3
	got := simulate(ffqueue.New[int](simulationLimits), flood, big)
	if ratio := float64(got[1].inTime) / float64(got[0].inTime); ratio < 2.9 || ratio > 3.1 {
		t.Errorf("a share of 3 gets %.2f times the calls of a share of 1", ratio)
	}
}

// TestShortCallsDoNotStarveLongCalls expects long calls to get at least 90% of the
// throughput of one slot during a flood of short calls.
func TestShortCallsDoNotStarveLongCalls(t *testing.T) {
	shortTimeout := photos
	shortTimeout.timeout = 5 * time.Second
	got := simulate(ffqueue.New[int](simulationLimits), flood, shortTimeout)
	if want := int(0.9 * simulatedTime.Seconds() / photos.service.Seconds()); got[1].inTime < want {
		t.Errorf("%d long calls are served during a flood of short ones, want %d", got[1].inTime, want)
	}
}

// TestShortCallsAreServedAtPeakLoad offers short calls at 95% of the capacity of
// all slots but the one reserved for long calls.
func TestShortCallsAreServedAtPeakLoad(t *testing.T) {
	got := simulate(ffqueue.New[int](simulationLimits), peakLookups(), photos)
	if served := got[0].servedPercent(); served < 99 {
		t.Errorf("%.2f%% of the short calls are served with long calls present, want 99%%", served)
	}
}

func TestLongCallsDoNotDelayShortCalls(t *testing.T) {
	withoutLong := simulate(ffqueue.New[int](simulationLimits), lookups)
	withLong := simulate(ffqueue.New[int](simulationLimits), lookups, photos)
	if without, with := withoutLong[0].p99(), withLong[0].p99(); with > without+steady.service {
		t.Errorf("p99 wait of short calls is %v with long calls present and %v without", with, without)
	}
	if withLong[0].servedPercent() < 99 {
		t.Errorf("%.2f%% of the short calls are served with long calls present", withLong[0].servedPercent())
	}
}

func peakLookups() source {
	s := lookups
	s.perSecond = 0.95 * float64(simulationLimits.Slots-1) / s.service.Seconds()
	return s
}

// overloadSources offers three times the capacity of the target.
func overloadSources() []source {
	var sources []source
	for _, customer := range []string{"a", "b", "c"} {
		sources = append(sources, source{customer: customer, share: 1, perSecond: 1000, service: 10 * time.Millisecond, timeout: 200 * time.Millisecond})
	}
	return sources
}

// goodputPercent returns the calls answered in time in percent of the target's
// capacity.
func goodputPercent(results []result) float64 {
	inTime := 0
	for _, r := range results {
		inTime += r.inTime
	}
	capacity := simulatedTime.Seconds() * float64(simulationLimits.Slots) / steady.service.Seconds()
	return 100 * float64(inTime) / capacity
}

func TestGoodputUnderOverload(t *testing.T) {
	if got := goodputPercent(simulate(ffqueue.New[int](simulationLimits), overloadSources()...)); got < 90 {
		t.Errorf("goodput is %.1f%% of the capacity, want 90%%", got)
	}
}

// BenchmarkVirtualTime compares the fair queue, the fair queue without early
// refusal of calls that would miss their deadline, and a FIFO queue.
func BenchmarkVirtualTime(b *testing.B) {
	patient := simulationLimits
	patient.KeepUntilDeadline = true
	schedulers := map[string]func() scheduler{
		"fair":    func() scheduler { return ffqueue.New[int](simulationLimits) },
		"patient": func() scheduler { return ffqueue.New[int](patient) },
		"fifo":    func() scheduler { return &fifo{limits: simulationLimits} },
	}
	cases := map[string][]source{
		"crest":      overloadSources(),
		"flood":      {steady, flood},
		"longWork":   {lookups, photos},
		"longCrest":  {peakLookups(), photos},
		"shortAlone": {lookups},
	}
	for caseName, sources := range cases {
		for schedulerName, create := range schedulers {
			b.Run(caseName+"/"+schedulerName, func(b *testing.B) { benchmarkSimulation(b, create, sources) })
		}
	}
}

func benchmarkSimulation(b *testing.B, create func() scheduler, sources []source) {
	var got []result
	for b.Loop() {
		got = simulate(create(), sources...)
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(goodputPercent(got), "goodput%")
	b.ReportMetric(got[0].servedPercent(), "served%")
	b.ReportMetric(float64(got[0].p99().Microseconds())/1000, "p99waitMs")
	if len(got) > 1 {
		b.ReportMetric(got[1].servedPercent(), "otherServed%")
	}
}
