package ffexperiment

import (
	"context"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffgenerator"
)

const (
	lineTargets = 4
	// lineLoad is the load of short calls, as a fraction of capacity.
	lineLoad = 0.4
	// lineBatches is the rate of long calls, in calls a second. The slots for long work
	// cannot serve all of them.
	lineBatches = 6
	// longServiceTime is the service time of long calls.
	longServiceTime = 1500 * time.Millisecond
	// lineMaxRatio is the maximum p99 latency of short calls beside long calls, as a
	// multiple of that without.
	lineMaxRatio = 1.5
)

// headOfLine measures how much long calls delay short calls (head-of-line blocking).
type headOfLine struct{}

// lineFigures are the latencies of short calls with and without concurrent long calls.
type lineFigures struct {
	AloneP50Millis  float64 `json:"aloneP50Millis"`
	AloneP99Millis  float64 `json:"aloneP99Millis"`
	BesideP50Millis float64 `json:"besideP50Millis"`
	BesideP99Millis float64 `json:"besideP99Millis"`
	// Ratio is BesideP99Millis divided by AloneP99Millis.
	Ratio float64 `json:"ratio"`
	// ShortServed is the fraction of short calls answered beside long calls.
	ShortServed float64 `json:"shortServed"`
	// BatchesPerSecond is the rate at which long calls were answered.
	BatchesPerSecond float64 `json:"batchesPerSecond"`
}

// Run measures the baseline and the product.
func (e headOfLine) Run(ctx context.Context, s Setup) (Report, error) {
	report, product, err := compare(s, func(off ...string) (lineFigures, error) { return e.measure(ctx, s, off...) })
	report.Target = "99th percentile of short work beside long work at most 1.5 times that without"
	report.Met = product.Ratio <= lineMaxRatio && product.ShortServed >= minServed
	return report, err
}

func (headOfLine) measure(ctx context.Context, s Setup, off ...string) (lineFigures, error) {
	m, err := startMesh(ctx, s, lineTargets, targetArgs(shortServiceTime, longServiceTime), off...)
	if err != nil {
		return lineFigures{}, err
	}
	defer m.close()
	m.warm(ctx)
	rate := lineLoad * lineTargets * slots / shortServiceTime.Seconds()
	alone := m.run(ctx, s.Duration, m.lookups("large", rate, 0))[0]
	results := m.run(ctx, s.Duration, m.lookups("large", rate, 0), m.batches("small", lineBatches))
	return lineFiguresOf(s, alone, results[0], results[1]), nil
}

func lineFiguresOf(s Setup, alone, beside, batches *ffgenerator.Result) lineFigures {
	f := lineFigures{
		AloneP50Millis:   millis(alone.Percentile(50)),
		AloneP99Millis:   millis(alone.Percentile(99)),
		BesideP50Millis:  millis(beside.Percentile(50)),
		BesideP99Millis:  millis(beside.Percentile(99)),
		ShortServed:      beside.AnsweredFraction(),
		BatchesPerSecond: float64(batches.Answered) / s.Duration.Seconds(),
	}
	f.Ratio = f.BesideP99Millis / f.AloneP99Millis
	return f
}
