package ffexperiment

import (
	"context"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffdeployment"
	"fireflyfall.dev/fireflyfall/internal/ffgenerator"
)

const (
	contractTargets = 6
	// contractSmallRate is the rate of the customer that stays within its contract of
	// 200 calls a second.
	contractSmallRate = 120
	// contractCarelessRate is the rate in the contract of the careless customer, in calls
	// a second.
	contractCarelessRate = 50
	// contractSlack is the fraction by which the careless customer may exceed it.
	contractSlack = 0.2
)

// contracts measures whether the contract of a careless customer is enforced across
// all daemons, and whether a customer within its contract is served, from the start
// and while a VM leaves.
type contracts struct{}

// contractFigures are the fractions of the small customer's calls that were served,
// their latency, and the rate at which the careless customer was served.
type contractFigures struct {
	// SmallServedStart is the fraction served right after the daemons started.
	SmallServedStart   float64 `json:"smallServedStart"`
	SmallServedSteady  float64 `json:"smallServedSteady"`
	SmallServedLeaving float64 `json:"smallServedLeaving"`
	SmallP99Millis     float64 `json:"smallP99Millis"`
	// CarelessPerSecond is the rate at which the careless customer was served, in the
	// phase after the start.
	CarelessPerSecond float64 `json:"carelessPerSecond"`
}

// Run measures a baseline in which each daemon enforces the contracts independently,
// and the product.
func (e contracts) Run(ctx context.Context, s Setup) (Report, error) {
	baseline, err := e.measure(ctx, s, "sharedLimits")
	if err != nil {
		return Report{}, err
	}
	product, err := e.measure(ctx, s)
	least := min(product.SmallServedStart, product.SmallServedSteady, product.SmallServedLeaving)
	return Report{
		Baseline: baseline,
		Product:  product,
		Target:   "a customer within its contract is served at least 0.99, also while a VM leaves; a careless one gets at most 1.2 times its contract",
		Met:      least >= minServed && product.CarelessPerSecond <= contractCarelessRate*(1+contractSlack),
	}, err
}

func (e contracts) measure(ctx context.Context, s Setup, off ...string) (contractFigures, error) {
	m, err := startMesh(ctx, s, contractTargets, targetArgs(shortServiceTime, time.Second), off...)
	if err != nil {
		return contractFigures{}, err
	}
	defer m.close()
	start := e.phase(ctx, m, s)
	steady := e.phase(ctx, m, s)
	last := m.deployment.Nodes[contractTargets-1]
	m.addresses = m.addresses[:contractTargets-1]
	stop := &plannedStop{node: last, done: make(chan error, 1)}
	go stop.run(ctx)
	leaving := e.phase(ctx, m, s)
	return contractFigures{
		SmallServedStart:   start[0].AnsweredFraction(),
		SmallServedSteady:  steady[0].AnsweredFraction(),
		SmallServedLeaving: leaving[0].AnsweredFraction(),
		SmallP99Millis:     millis(steady[0].Percentile(99)),
		CarelessPerSecond:  float64(steady[1].Answered) / s.Duration.Seconds(),
	}, <-stop.done
}

// phase sends the calls of both customers for the length of one measurement.
func (contracts) phase(ctx context.Context, m *mesh, s Setup) []*ffgenerator.Result {
	return m.run(ctx, s.Duration, m.lookups("small", contractSmallRate, crestLateAfter), m.lookups("careless", floodRate, 0))
}

// plannedStop stops a daemon in the background.
type plannedStop struct {
	node *ffdeployment.Node
	done chan error
}

func (p *plannedStop) run(ctx context.Context) { p.done <- p.node.Daemon.Stop(ctx) }
