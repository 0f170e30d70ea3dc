package ffgate

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// Histogram buckets of the time that calls wait for a slot: 0.5 ms to 16 s.
const (
	firstWaitSeconds = 0.0005
	waitFactor       = 2
	waitBuckets      = 16
)

// metrics holds the histogram and the counters of a gate. They are created by init.
type metrics struct {
	waits    *prometheus.HistogramVec
	refusals *prometheus.CounterVec
	short    prometheus.Observer
	long     prometheus.Observer
}

var (
	queuedDesc  = prometheus.NewDesc("fireflyfall_gate_queued", "Calls that wait for a slot.", []string{"class"}, nil)
	inUseDesc   = prometheus.NewDesc("fireflyfall_gate_slots_in_use", "Slots of the target in use.", []string{"class"}, nil)
	slotsDesc   = prometheus.NewDesc("fireflyfall_gate_slots", "Slots that the gate uses now; below the service's slots while the target sheds calls.", nil, nil)
	readyDesc   = prometheus.NewDesc("fireflyfall_gate_target_ready", "1 while the target accepts connections.", nil, nil)
	recordsDesc = prometheus.NewDesc("fireflyfall_gate_outcomes", "Stored outcomes.", nil, nil)
	bytesDesc   = prometheus.NewDesc("fireflyfall_gate_outcome_bytes", "Size of the stored answers in bytes.", nil, nil)
)

func (m *metrics) init() {
	m.waits = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "fireflyfall_gate_wait_seconds",
		Help:    "Time from arrival to a slot.",
		Buckets: prometheus.ExponentialBuckets(firstWaitSeconds, waitFactor, waitBuckets),
	}, []string{"class"})
	m.refusals = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "fireflyfall_gate_refusals_total",
		Help: "Attempts that got no answer, by reason and outcome.",
	}, []string{"kind", "outcome"})
	m.short = m.waits.WithLabelValues(ffconfig.ClassShort.String())
	m.long = m.waits.WithLabelValues(ffconfig.ClassLong.String())
}

func (m *metrics) observeWait(c ffconfig.Class, d time.Duration) {
	if c == ffconfig.ClassLong {
		m.long.Observe(d.Seconds())
		return
	}
	m.short.Observe(d.Seconds())
}

func (m *metrics) countRefusal(k ffcall.Kind, o ffcall.Outcome) {
	m.refusals.WithLabelValues(k.String(), o.String()).Inc()
}

// Describe implements prometheus.Collector.
func (g *Gate) Describe(ch chan<- *prometheus.Desc) { prometheus.DescribeByCollect(g, ch) }

// Collect implements prometheus.Collector.
func (g *Gate) Collect(ch chan<- prometheus.Metric) {
	g.collectGauges(ch)
	g.metrics.waits.Collect(ch)
	g.metrics.refusals.Collect(ch)
}

func (g *Gate) collectGauges(ch chan<- prometheus.Metric) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.prepare()
	gauge := func(d *prometheus.Desc, n int, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, float64(n), labels...)
	}
	for _, c := range []ffconfig.Class{ffconfig.ClassShort, ffconfig.ClassLong} {
		gauge(queuedDesc, g.queue.Queued(c), c.String())
		gauge(inUseDesc, g.queue.Running(c), c.String())
	}
	ready := 0
	if g.health.ready() {
		ready = 1
	}
	gauge(slotsDesc, g.queue.Limits().Slots)
	gauge(readyDesc, ready)
	gauge(recordsDesc, g.store.records)
	gauge(bytesDesc, g.store.bytes)
}
