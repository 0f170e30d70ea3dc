package ffdeployment

import (
	"context"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffscrape"
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
	m, err := ffscrape.Read(ctx, n.ports.operator)
	if err != nil {
		return Usage{}, &Error{Op: "read usage", Kind: KindProcess, Err: err}
	}
	return Usage{At: time.Now(), CPUSeconds: m.Sum(cpuMetric), MemoryBytes: m.Sum(memoryMetric), PeerBytes: m.Sum(peerMetric)}, nil
}
