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

// Names of the metrics that tell what a daemon costs.
const (
	cpuMetric    = "process_cpu_seconds_total"
	memoryMetric = "process_resident_memory_bytes"
	peerMetric   = "fireflyfall_peer_bytes_total"
)

// Usage is what a daemon has cost since its start.
type Usage struct {
	At time.Time
	// CPUSeconds is the processor time, in seconds.
	CPUSeconds float64
	// MemoryBytes is the resident memory, in bytes.
	MemoryBytes float64
	// PeerBytes is what it exchanged with other daemons for control, in bytes, both ways.
	PeerBytes float64
}

// Usage asks the daemon what it has cost.
func (n *Node) Usage(ctx context.Context) (Usage, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.ports.operator+"/metrics", nil)
	if err != nil {
		return Usage{}, &Error{Op: "read usage", Kind: KindProcess, Err: err}
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return Usage{}, &Error{Op: "read usage", Kind: KindProcess, Err: err}
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return Usage{}, &Error{Op: "read usage", Kind: KindProcess, Err: merry.New(answer.Status)}
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(answer.Body)
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

// sum adds up a family's counters and gauges over all labels.
func sum(family *dto.MetricFamily) float64 {
	total := 0.0
	for _, m := range family.GetMetric() {
		total += m.GetCounter().GetValue() + m.GetGauge().GetValue()
	}
	return total
}
