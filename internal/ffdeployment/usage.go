package ffdeployment

import (
	"context"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// Names of the metrics that measure the resource usage of a daemon.
const (
	cpuMetric    = "process_cpu_seconds_total"
	memoryMetric = "process_resident_memory_bytes"
	peerMetric   = "fireflyfall_peer_bytes_total"
)

// Usage is the resource usage of a daemon: the totals since its start and its current memory.
type Usage struct {
	// At is the time of the measurement.
	At time.Time
	// CPUSeconds is the CPU time, in seconds.
	CPUSeconds float64
	// MemoryBytes is the resident memory, in bytes.
	MemoryBytes float64
	// PeerBytes is the control traffic with other daemons in both directions, in bytes.
	PeerBytes float64
}

// Usage reads the resource usage from the daemon's metrics.
func (n *Node) Usage(ctx context.Context) (Usage, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.ports.operator+"/metrics", nil)
	if err != nil {
		return Usage{}, &Error{Op: "read usage", Kind: KindProcess, Err: err}
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return Usage{}, &Error{Op: "read usage", Kind: KindProcess, Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return Usage{}, &Error{Op: "read usage", Kind: KindProcess, Err: merry.New(response.Status)}
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(response.Body)
	if err != nil {
		return Usage{}, &Error{Op: "read usage", Kind: KindProcess, Err: err}
	}
	return Usage{
		At:          time.Now(),
		CPUSeconds:  sum(families[cpuMetric]),
		MemoryBytes: sum(families[memoryMetric]),
		PeerBytes:   sum(families[peerMetric]),
	}, nil
}

// sum returns the sum of all counters and gauges of a metric family.
func sum(family *dto.MetricFamily) float64 {
	total := 0.0
	for _, m := range family.GetMetric() {
		total += m.GetCounter().GetValue() + m.GetGauge().GetValue()
	}
	return total
}
