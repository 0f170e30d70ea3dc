package ffoutbound

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"fireflyfall.dev/fireflyfall/internal/ffroute"
)

// Metrics counts the requests by outcome and measures their latency.
type Metrics struct {
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
}

// NewMetrics creates the metrics of an entry and registers them.
func NewMetrics(r prometheus.Registerer) (*Metrics, error) {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fireflyfall_requests_total", Help: "Requests by route kind and outcome.",
		}, []string{"kind", "outcome"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "fireflyfall_request_seconds",
			Help:    "Time from the head of a request to its answer.",
			Buckets: prometheus.ExponentialBuckets(0.002, 2, 12),
		}, []string{"kind"}),
	}
	for _, c := range []prometheus.Collector{m.requests, m.latency} {
		if err := r.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// Done records the outcome and the latency of a request whose body was read whole.
func (m *Metrics) Done(kind ffroute.Kind, outcome string, elapsed time.Duration) {
	if m == nil {
		return
	}
	m.requests.WithLabelValues(kind.String(), outcome).Inc()
	m.latency.WithLabelValues(kind.String()).Observe(elapsed.Seconds())
}

// Refused counts a request that was refused before its body was read whole.
func (m *Metrics) Refused(reason string) {
	if m == nil {
		return
	}
	m.requests.WithLabelValues("none", reason).Inc()
}
