package ffexperiment

import (
	"context"
	"time"
)

const (
	crestTargets = 6
	// crestFactor is the demand as a multiple of capacity.
	crestFactor = 3
	// crestLateAfter is the time after which an answer counts as late.
	crestLateAfter = 400 * time.Millisecond
	// smallRate is the rate of the small customer, in calls a second, well within its
	// contract.
	smallRate = 30
	// floodRate is the rate of the careless customer, in calls a second.
	floodRate = 600

	// minGoodput and minServed are the minimum goodput, as a fraction of capacity, and
	// the minimum fraction of calls served.
	minGoodput = 0.9
	minServed  = 0.99
)

// crest measures the service at peak load: the demand is a multiple of the capacity
// and a careless customer exceeds its contract.
type crest struct{}

// crestFigures are the figures measured at peak load.
type crestFigures struct {
	// Goodput is the rate of timely answers to all customers, as a fraction of capacity.
	Goodput float64 `json:"goodput"`
	// SmallServed is the fraction of the small customer's calls answered in time.
	SmallServed float64 `json:"smallServed"`
	// SmallP99Millis is the latency of the small customer's answered calls.
	SmallP99Millis float64 `json:"smallP99Millis"`
	// LargeP99Millis is the latency of the large customer's answered calls.
	LargeP99Millis float64 `json:"largeP99Millis"`
	// CarelessPerSecond is the rate at which the careless customer was answered.
	CarelessPerSecond float64 `json:"carelessPerSecond"`
	// Late is the fraction of all calls that was answered too late.
	Late float64 `json:"late"`
}

// Run measures the baseline and the product.
func (e crest) Run(ctx context.Context, s Setup) (Report, error) {
	report, product, err := compare(s, func(off ...string) (crestFigures, error) { return e.measure(ctx, s, off...) })
	report.Target = "goodput at 3 times the demand at least 0.9 of capacity; small customer served at least 0.99"
	report.Met = product.Goodput >= minGoodput && product.SmallServed >= minServed
	return report, err
}

func (crest) measure(ctx context.Context, s Setup, off ...string) (crestFigures, error) {
	m, err := startMesh(ctx, s, crestTargets, targetArgs(shortServiceTime, time.Second), off...)
	if err != nil {
		return crestFigures{}, err
	}
	defer m.close()
	m.warm(ctx)
	capacity := crestTargets * slots / shortServiceTime.Seconds()
	results := m.run(
		ctx, s.Duration,
		m.lookups("large", crestFactor*capacity-smallRate, crestLateAfter),
		m.lookups("small", smallRate, crestLateAfter),
		m.lookups("careless", floodRate, crestLateAfter),
	)
	large, small, careless := results[0], results[1], results[2]
	answered := large.Answered + small.Answered + careless.Answered
	sent := large.Sent + small.Sent + careless.Sent
	return crestFigures{
		Goodput:           float64(answered) / s.Duration.Seconds() / capacity,
		SmallServed:       small.AnsweredFraction(),
		SmallP99Millis:    millis(small.Percentile(99)),
		LargeP99Millis:    millis(large.Percentile(99)),
		CarelessPerSecond: float64(careless.Answered) / s.Duration.Seconds(),
		Late:              float64(large.Late+small.Late+careless.Late) / float64(sent),
	}, nil
}
