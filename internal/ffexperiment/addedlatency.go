package ffexperiment

import (
	"context"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffgenerator"
)

const (
	addedTargets = 4
	// addedRate is the load, in calls a second over all daemons.
	addedRate = 400
	// addedWork is the service time of a call.
	addedWork = 2 * time.Millisecond
	// addedRounds is the number of times that both ways are measured in turn.
	addedRounds = 3
	// addedMillis bounds what the daemons add to 99 of 100 calls.
	addedMillis = 0.36
)

// addedLatency measures what the daemons add to a call.
type addedLatency struct{}

// addedFigures are the latencies of one way.
type addedFigures struct {
	CallsPerSecond float64 `json:"callsPerSecond"`
	P50Millis      float64 `json:"p50Millis"`
	P99Millis      float64 `json:"p99Millis"`
	// AddedP50Millis and AddedP99Millis are what the daemons add, the median of all rounds.
	AddedP50Millis float64 `json:"addedP50Millis,omitempty"`
	AddedP99Millis float64 `json:"addedP99Millis,omitempty"`
}

// Run measures calls straight to the targets and calls through the daemons.
func (e addedLatency) Run(ctx context.Context, s Setup) (Report, error) {
	m, err := startMesh(ctx, s, addedTargets, targetArgs(addedWork, time.Second))
	if err != nil {
		return Report{}, err
	}
	defer m.close()
	m.warm(ctx)
	var straight, through []addedFigures
	for range addedRounds {
		straight = append(straight, e.measure(ctx, m, s, e.straight(m)))
		through = append(through, e.measure(ctx, m, s, m.lookups("large", addedRate, 0)))
	}
	baseline, product := middle(straight), middle(through)
	product.AddedP50Millis = product.P50Millis - baseline.P50Millis
	product.AddedP99Millis = product.P99Millis - baseline.P99Millis
	return Report{
		Baseline: baseline,
		Product:  product,
		Target:   "99 in 100 calls add at most 0.36 ms on loopback",
		Met:      product.AddedP99Millis <= addedMillis,
	}, nil
}

func (addedLatency) measure(ctx context.Context, m *mesh, s Setup, stream ffgenerator.Stream) addedFigures {
	r := m.run(ctx, s.For, stream)[0]
	return addedFigures{
		CallsPerSecond: float64(r.Answered) / s.For.Seconds(),
		P50Millis:      millis(r.Percentile(50)),
		P99Millis:      millis(r.Percentile(99)),
	}
}

// straight returns a stream of calls without daemons.
func (addedLatency) straight(m *mesh) ffgenerator.Stream {
	stream := m.lookups("large", addedRate, 0)
	stream.Direct = true
	stream.Client.Addresses = nil
	for _, n := range m.deployment.Nodes {
		stream.Client.Addresses = append(stream.Client.Addresses, n.TargetAddress())
	}
	return stream
}
