package ffexperiment

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// Setup holds the options of an experiment.
type Setup struct {
	// Seed determines the start times of calls.
	Seed uint64
	// Directory is where binaries and bundles are written.
	Directory string
	// Duration is the length of one measurement.
	Duration time.Duration
	// Without lists policies. The product is measured again without each of them; only
	// the experiments crest, headOfLine and slowedTargets do so.
	Without []string
}

// Report is the result of an experiment.
type Report struct {
	Name     string `json:"name"`
	Seed     uint64 `json:"seed"`
	Baseline any    `json:"baseline"`
	Product  any    `json:"product"`
	// Without holds the figures measured with one policy turned off each.
	Without []Ablation `json:"without,omitempty"`
	Target  string     `json:"target"`
	Met     bool       `json:"met"`
}

// Ablation holds the figures of the product with one policy turned off.
type Ablation struct {
	Off     string `json:"off"`
	Figures any    `json:"figures"`
}

// Experiment compares the product with a baseline.
type Experiment interface {
	Run(ctx context.Context, s Setup) (Report, error)
}

// registry maps names to experiments.
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

// Run runs the experiment with the given name. It returns an error if the name
// is unknown.
func Run(ctx context.Context, name string, s Setup) (Report, error) {
	e, ok := registry[name]
	if !ok {
		return Report{}, &Error{Op: "run", Kind: KindUnknownExperiment, Err: merry.Errorf("unknown experiment %q, allowed are %s", name, strings.Join(Names(), ", "))}
	}
	report, err := e.Run(ctx, s)
	report.Name = name
	report.Seed = s.Seed
	return report, err
}

// compare measures the baseline, the product, and the product without each of the
// policies in s.Without.
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

// baselineOff lists the policies that a plain proxy does not have: it selects targets
// round-robin and serves calls in order of arrival.
var baselineOff = []string{"twoChoices", "loadReports", "shunning", "ownTarget", "fairQueue", "reservedSlots", "deadlineRefusal", "hedging"}
