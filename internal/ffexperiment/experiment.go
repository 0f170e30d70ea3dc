package ffexperiment

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// Setup is what every experiment gets.
type Setup struct {
	// Seed fixes the start times of calls and the choice of faults.
	Seed uint64
	// Directory takes binaries and bundles.
	Directory string
	// For is the length of one measurement.
	For time.Duration
	// Without are single policies to turn off, each measured beside the product.
	Without []string
}

// Report is the outcome of an experiment.
type Report struct {
	Name     string `json:"name"`
	Seed     uint64 `json:"seed"`
	Baseline any    `json:"baseline"`
	Product  any    `json:"product"`
	// Without holds the figures with single policies turned off.
	Without []Ablation `json:"without,omitempty"`
	Target  string     `json:"target"`
	Met     bool       `json:"met"`
}

// Ablation is the product with one policy turned off.
type Ablation struct {
	Off     string `json:"off"`
	Figures any    `json:"figures"`
}

// Experiment measures the product against a baseline.
type Experiment interface {
	Run(ctx context.Context, s Setup) (Report, error)
}

// registry holds all experiments by name.
var registry = map[string]Experiment{
	"crest":          crest{},
	"headOfLine":     headOfLine{},
	"slowedTargets":  slowedTargets{},
	"addedLatency":   addedLatency{},
	"contracts":      contracts{},
	"convergence":    convergence{},
	"reconnectStorm": reconnectStorm{},
	"controlCost":    controlCost{},
}

// Names returns the names of all experiments, sorted.
func Names() []string { return slices.Sorted(maps.Keys(registry)) }

// Run runs the experiment with a name.
func Run(ctx context.Context, name string, s Setup) (Report, error) {
	e, ok := registry[name]
	if !ok {
		return Report{}, &Error{Op: "run", Kind: KindName, Err: merry.Errorf("%q is not an experiment, allowed are %s", name, strings.Join(Names(), ", "))}
	}
	report, err := e.Run(ctx, s)
	report.Name = name
	report.Seed = s.Seed
	return report, err
}

// compare measures the baseline, the product, and the product without each
// policy of the setup.
func compare[T any](s Setup, measure func(off ...string) (T, error)) (Report, T, error) {
	var report Report
	baseline, err := measure(baselineOff...)
	if err != nil {
		return report, baseline, err
	}
	product, err := measure()
	if err != nil {
		return report, product, err
	}
	report.Baseline = baseline
	report.Product = product
	for _, policy := range s.Without {
		figures, err := measure(policy)
		if err != nil {
			return report, product, err
		}
		report.Without = append(report.Without, Ablation{Off: policy, Figures: figures})
	}
	return report, product, nil
}

// baselineOff are the policies that a plain proxy lacks: it takes targets in
// turn, and first come is first served.
var baselineOff = []string{"twoChoices", "loadReports", "shunning", "ownTarget", "fairQueue", "reservedSlots", "deadlineRefusal", "hedging"}
