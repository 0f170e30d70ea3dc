package ffcaller

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
)

// Metrics counts the calls of callers and measures their duration. A nil Metrics
// records nothing.
type Metrics struct {
	calls   *prometheus.CounterVec
	seconds *prometheus.HistogramVec
}

// NewMetrics returns metrics that are registered with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fireflyfall_calls_total",
			Help: "Calls of callers, by customer, outcome and reason.",
		}, []string{"customer", "outcome", "reason"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "fireflyfall_call_seconds",
			Help:    "Time from the header of a request to its answer, by route.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16),
		}, []string{"route"}),
	}
	reg.MustRegister(m.calls, m.seconds)
	return m
}

func (m *Metrics) count(customer string, outcome ffcall.Outcome, reason string) {
	if m != nil {
		m.calls.WithLabelValues(customer, outcome.String(), reason).Inc()
	}
}

func (m *Metrics) observe(route string, d time.Duration) {
	if m != nil {
		m.seconds.WithLabelValues(route).Observe(d.Seconds())
	}
}
