package ffqueue_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffqueue"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// scheduler is what the run compares: the fair queue and one queue in order of arrival.
type scheduler interface {
	Push(now time.Time, it *item) (*item, error)
	Next(now time.Time) (*item, ffqueue.Decision)
	Release(it *item, used time.Duration)
}

// fifo is one bounded queue without classes, shares or deadlines.
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

// source is a customer that sends calls at random times.
type source struct {
	customer  string
	class     ffconfig.Class
	share     int
	perSecond float64
	service   time.Duration
	timeout   time.Duration
}

// result counts what became of the calls of one source.
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

// event is an arrival of a source, or the end of a call when it has one.
type event struct {
	at     time.Time
	source int
	call   *item
	used   time.Duration
}

// run is one queue and its target in virtual time.
type run struct {
	q         scheduler
	sources   []source
	results   []result
	estimator ffqueue.Estimator
	events    []event
	rnd       *rand.Rand
	arrivals  map[*item]time.Time
}

const (
	runSeed   = 594
	runLength = 20 * time.Second
)

func simulate(q scheduler, sources ...source) []result {
	r := &run{q: q, sources: sources, results: make([]result, len(sources)), rnd: rand.New(rand.NewPCG(runSeed, runSeed)), arrivals: make(map[*item]time.Time)}
	for i := range sources {
		r.arriveAfter(epoch, i)
	}
	for len(r.events) > 0 {
		r.step()
	}
	return r.results
}

// step takes the earliest event; there are never more than sources and slots.
func (r *run) step() {
	next := 0
	for i, e := range r.events {
		if e.at.Before(r.events[next].at) {
			next = i
		}
	}
	e := r.events[next]
	r.events = slices.Delete(r.events, next, next+1)
	if e.call == nil {
		r.arrive(e)
	} else {
		r.q.Release(e.call, e.used)
		r.estimator.Observe(e.at, e.call.Customer, e.used)
	}
	r.start(e.at)
}

func (r *run) arriveAfter(now time.Time, i int) {
	at := now.Add(time.Duration(r.rnd.ExpFloat64() / r.sources[i].perSecond * float64(time.Second)))
	if at.Before(epoch.Add(runLength)) {
		r.events = append(r.events, event{at: at, source: i})
	}
}

func (r *run) arrive(e event) {
	s := r.sources[e.source]
	r.arriveAfter(e.at, e.source)
	r.results[e.source].sent++
	it := &item{Customer: s.customer, Class: s.class, Share: s.share, Value: e.source, Deadline: e.at.Add(s.timeout), Estimate: r.estimator.Estimate(e.at, s.customer, s.class)}
	if _, err := r.q.Push(e.at, it); err == nil {
		r.arrivals[it] = e.at
	}
}

func (r *run) start(now time.Time) {
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
	runLimits = ffqueue.Limits{Slots: 10, LongSlots: 4, Length: 200}
	porters   = source{customer: "porters", share: 1, perSecond: 100, service: 10 * time.Millisecond, timeout: 500 * time.Millisecond}
	flood     = source{customer: "flood", share: 1, perSecond: 5000, service: 10 * time.Millisecond, timeout: 500 * time.Millisecond}
	lookups   = source{customer: "lookups", share: 1, perSecond: 300, service: 10 * time.Millisecond, timeout: 500 * time.Millisecond}
	photos    = source{customer: "photos", share: 1, class: ffconfig.ClassLong, perSecond: 6, service: 2 * time.Second, timeout: 30 * time.Second}
)

func TestFloodLeavesOthersWithinTheirShare(t *testing.T) {
	got := simulate(ffqueue.New[int](runLimits), porters, flood)
	if served := got[0].servedPercent(); served < 99 {
		t.Errorf("%.2f%% of the small customer's calls are served, want 99%%", served)
	}
	if served := float64(got[1].inTime) / runLength.Seconds(); served < 850 {
		t.Errorf("the flood gets %.0f calls a second, want the 850 that others leave", served)
	}
}

func TestSharesDivideTheSlots(t *testing.T) {
	big := flood
	big.customer, big.share = "big", 3
	got := simulate(ffqueue.New[int](runLimits), flood, big)
	if ratio := float64(got[1].inTime) / float64(got[0].inTime); ratio < 2.9 || ratio > 3.1 {
		t.Errorf("a share of 3 gets %.2f times the calls of a share of 1", ratio)
	}
}

// TestLongWorkIsNotStarvedByShortWork wants nine tenths of what one slot can do.
func TestLongWorkIsNotStarvedByShortWork(t *testing.T) {
	impatient := photos
	impatient.timeout = 5 * time.Second
	got := simulate(ffqueue.New[int](runLimits), flood, impatient)
	if want := int(0.9 * runLength.Seconds() / photos.service.Seconds()); got[1].inTime < want {
		t.Errorf("%d long calls are served beside a flood of short ones, want %d", got[1].inTime, want)
	}
}

// TestShortWorkGetsTheCrest has short work ask for 0.95 of the slots but the one kept
// for long work.
func TestShortWorkGetsTheCrest(t *testing.T) {
	got := simulate(ffqueue.New[int](runLimits), crestLookups(), photos)
	if served := got[0].servedPercent(); served < 99 {
		t.Errorf("%.2f%% of short work is served beside long work, want 99%%", served)
	}
}

func TestShortWorkDoesNotWaitBehindLongWork(t *testing.T) {
	alone := simulate(ffqueue.New[int](runLimits), lookups)
	beside := simulate(ffqueue.New[int](runLimits), lookups, photos)
	if a, b := alone[0].p99(), beside[0].p99(); b > a+porters.service {
		t.Errorf("p99 wait of short work is %v beside long work and %v without", b, a)
	}
	if beside[0].servedPercent() < 99 {
		t.Errorf("%.2f%% of short work is served beside long work", beside[0].servedPercent())
	}
}

func crestLookups() source {
	s := lookups
	s.perSecond = 0.95 * float64(runLimits.Slots-1) / s.service.Seconds()
	return s
}

// crestSources ask three times what the target can do.
func crestSources() []source {
	var sources []source
	for _, customer := range []string{"a", "b", "c"} {
		sources = append(sources, source{customer: customer, share: 1, perSecond: 1000, service: 10 * time.Millisecond, timeout: 200 * time.Millisecond})
	}
	return sources
}

// goodputPercent is the part of the target's capacity that answers in time.
func goodputPercent(results []result) float64 {
	inTime := 0
	for _, r := range results {
		inTime += r.inTime
	}
	capacity := runLength.Seconds() * float64(runLimits.Slots) / porters.service.Seconds()
	return 100 * float64(inTime) / capacity
}

func TestCrestIsAnsweredInTime(t *testing.T) {
	if got := goodputPercent(simulate(ffqueue.New[int](runLimits), crestSources()...)); got < 90 {
		t.Errorf("%.1f%% of the capacity answers in time, want 90%%", got)
	}
}

// BenchmarkVirtualTime compares the fair queue, the same without refusal by
// deadline, and one queue in order of arrival.
func BenchmarkVirtualTime(b *testing.B) {
	patient := runLimits
	patient.Patient = true
	kinds := map[string]func() scheduler{
		"fair":    func() scheduler { return ffqueue.New[int](runLimits) },
		"patient": func() scheduler { return ffqueue.New[int](patient) },
		"fifo":    func() scheduler { return &fifo{limits: runLimits} },
	}
	cases := map[string][]source{
		"crest":      crestSources(),
		"flood":      {porters, flood},
		"longWork":   {lookups, photos},
		"longCrest":  {crestLookups(), photos},
		"shortAlone": {lookups},
	}
	for name, sources := range cases {
		for kind, create := range kinds {
			b.Run(name+"/"+kind, func(b *testing.B) { benchmarkRun(b, create, sources) })
		}
	}
}

func benchmarkRun(b *testing.B, create func() scheduler, sources []source) {
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
