package ffexperiment

import (
	"context"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffgenerator"
)

const (
	addedTargets = 4
	// addedRate is the total load on all daemons, in calls a second.
	addedRate = 400
	// addedServiceTime is the service time of a call.
	addedServiceTime = 2 * time.Millisecond
	// addedRounds is the number of rounds; each measures direct calls and calls
	// through the daemons in turn.
	addedRounds = 3
	// addedMaxMillis is the maximum latency that the daemons may add at the 99th
	// percentile, in milliseconds.
	addedMaxMillis = 0.36
)

// addedLatency measures the latency that the daemons add to a call.
type addedLatency struct{}

// addedFigures are the latencies of direct calls or of calls through the daemons.
type addedFigures struct {
	CallsPerSecond float64 `json:"callsPerSecond"`
	P50Millis      float64 `json:"p50Millis"`
	P99Millis      float64 `json:"p99Millis"`
	// AddedP50Millis and AddedP99Millis are the latencies of the product minus those
	// of the baseline, each from its round with the median P99Millis.
	AddedP50Millis float64 `json:"addedP50Millis,omitempty"`
	AddedP99Millis float64 `json:"addedP99Millis,omitempty"`
}

// Run measures direct calls to the targets and calls through the daemons.
func (e addedLatency) Run(ctx context.Context, s Setup) (Report, error) {
	m, err := startMesh(ctx, s, addedTargets, targetArgs(addedServiceTime, time.Second))
	if err != nil {
		return Report{}, err
	}
	defer m.close()
	m.warm(ctx)
	var direct, viaDaemons []addedFigures
	for range addedRounds {
		direct = append(direct, e.measure(ctx, m, s, e.direct(m)))
		viaDaemons = append(viaDaemons, e.measure(ctx, m, s, m.lookups("large", addedRate, 0)))
	}
	baseline, product := medianRound(direct), medianRound(viaDaemons)
	product.AddedP50Millis = product.P50Millis - baseline.P50Millis
	product.AddedP99Millis = product.P99Millis - baseline.P99Millis
	return Report{
		Baseline: baseline,
		Product:  product,
		Target:   "99 in 100 calls add at most 0.36 ms on loopback",
		Met:      product.AddedP99Millis <= addedMaxMillis,
	}, nil
}

func (addedLatency) measure(ctx context.Context, m *mesh, s Setup, stream ffgenerator.Stream) addedFigures {
	r := m.run(ctx, s.Duration, stream)[0]
	return addedFigures{
		CallsPerSecond: float64(r.Answered) / s.Duration.Seconds(),
		P50Millis:      millis(r.Percentile(50)),
		P99Millis:      millis(r.Percentile(99)),
	}
}

// direct returns a stream of calls that go directly to the targets.
func (addedLatency) direct(m *mesh) ffgenerator.Stream {
	stream := m.lookups("large", addedRate, 0)
	stream.Direct = true
	stream.Client.Addresses = nil
	for _, n := range m.deployment.Nodes {
		stream.Client.Addresses = append(stream.Client.Addresses, n.TargetAddress())
	}
	return stream
}
