package ffexperiment

import (
	"context"

	"fireflyfall.dev/fireflyfall/internal/ffstand"
)

const (
	slowedFleet = 8
	// slowedCount is the number of targets that are slowed.
	slowedCount = 2
	// slowedFactor is the factor by which the service time of slowed targets grows.
	slowedFactor = 10
	// slowedLoad is the load, as a fraction of capacity.
	slowedLoad = 0.3
	// slowedMaxRatio is the maximum p99 latency with slowed targets, as a multiple of that
	// with none.
	slowedMaxRatio = 2
)

// slowedTargets measures the tail latency while some targets are slow.
type slowedTargets struct{}

// slowedFigures are the latencies with and without slowed targets.
type slowedFigures struct {
	NoneP50Millis   float64 `json:"noneP50Millis"`
	NoneP99Millis   float64 `json:"noneP99Millis"`
	SlowedP50Millis float64 `json:"slowedP50Millis"`
	SlowedP99Millis float64 `json:"slowedP99Millis"`
	// Ratio is SlowedP99Millis divided by NoneP99Millis.
	Ratio float64 `json:"ratio"`
	// Served is the fraction of calls answered with slowed targets.
	Served float64 `json:"served"`
	// Extra is the number of executions per call sent, with slowed targets.
	Extra float64 `json:"extra"`
}

// Run measures the baseline and the product.
func (e slowedTargets) Run(ctx context.Context, s Setup) (Report, error) {
	report, product, err := compare(s, func(off ...string) (slowedFigures, error) { return e.measure(ctx, s, off...) })
	report.Target = "99th percentile with 2 of 8 targets 10 times slower at most 2 times that with none"
	report.Met = product.Ratio <= slowedMaxRatio && product.Served >= minServed
	return report, err
}

func (slowedTargets) measure(ctx context.Context, s Setup, off ...string) (slowedFigures, error) {
	m, err := startMesh(ctx, s, slowedFleet, targetArgs(shortServiceTime, longServiceTime), off...)
	if err != nil {
		return slowedFigures{}, err
	}
	defer m.close()
	m.warm(ctx)
	rate := slowedLoad * slowedFleet * slots / shortServiceTime.Seconds()
	none := m.run(ctx, s.Duration, m.lookups("large", rate, 0))[0]
	before, err := m.executions(ctx)
	if err != nil {
		return slowedFigures{}, err
	}
	for _, n := range m.deployment.Nodes[:slowedCount] {
		if err := n.Target.SetState(ctx, ffstand.TargetState{SlowFactor: slowedFactor}); err != nil {
			return slowedFigures{}, err
		}
	}
	slowed := m.run(ctx, s.Duration, m.lookups("large", rate, 0))[0]
	after, err := m.executions(ctx)
	f := slowedFigures{
		NoneP50Millis:   millis(none.Percentile(50)),
		NoneP99Millis:   millis(none.Percentile(99)),
		SlowedP50Millis: millis(slowed.Percentile(50)),
		SlowedP99Millis: millis(slowed.Percentile(99)),
		Served:          slowed.AnsweredFraction(),
		Extra:           float64(after-before) / float64(slowed.Sent),
	}
	f.Ratio = f.SlowedP99Millis / f.NoneP99Millis
	return f, err
}

// executions returns the number of executions at all targets.
func (m *mesh) executions(ctx context.Context) (int, error) {
	total := 0
	for _, n := range m.deployment.Nodes {
		all, err := n.Target.Executions(ctx)
		if err != nil {
			return 0, err
		}
		total += len(all)
	}
	return total, nil
}
