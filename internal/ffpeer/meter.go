package ffpeer

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// Meter counts connections and their payload bytes, without TCP and IP headers. The
// zero value is ready to use.
type Meter struct {
	in, out, opened, closed atomic.Int64
}

// Usage holds the counts of a Meter.
type Usage struct {
	BytesIn, BytesOut                  int64
	ConnectionsOpened, ConnectionsOpen int64
}

// Usage returns the current counts.
func (m *Meter) Usage() Usage {
	opened := m.opened.Load()
	return Usage{
		BytesIn:           m.in.Load(),
		BytesOut:          m.out.Load(),
		ConnectionsOpened: opened,
		ConnectionsOpen:   opened - m.closed.Load(),
	}
}

var (
	bytesDesc       = prometheus.NewDesc("fireflyfall_peer_bytes_total", "Payload bytes exchanged with other daemons.", []string{"direction"}, nil)
	connectionsDesc = prometheus.NewDesc("fireflyfall_peer_connections_opened_total", "Connections opened to and by other daemons.", nil, nil)
	openDesc        = prometheus.NewDesc("fireflyfall_peer_connections", "Connections open to other daemons.", nil, nil)
)

// Describe sends the descriptions of the metrics.
func (m *Meter) Describe(ch chan<- *prometheus.Desc) {
	ch <- bytesDesc
	ch <- connectionsDesc
	ch <- openDesc
}

// Collect sends the metrics.
func (m *Meter) Collect(ch chan<- prometheus.Metric) {
	u := m.Usage()
	ch <- prometheus.MustNewConstMetric(bytesDesc, prometheus.CounterValue, float64(u.BytesIn), "in")
	ch <- prometheus.MustNewConstMetric(bytesDesc, prometheus.CounterValue, float64(u.BytesOut), "out")
	ch <- prometheus.MustNewConstMetric(connectionsDesc, prometheus.CounterValue, float64(u.ConnectionsOpened))
	ch <- prometheus.MustNewConstMetric(openDesc, prometheus.GaugeValue, float64(u.ConnectionsOpen))
}
