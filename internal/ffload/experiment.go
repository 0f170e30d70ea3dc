package ffload

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffexperiment"
)

// Experiment is the experiment subcommand: it compares the product with a baseline.
type Experiment struct {
	Name    string        `arg:"positional,required" placeholder:"NAME" help:"name of the experiment; a wrong one lists all"`
	Seed    uint64        `arg:"--seed" default:"1" help:"seed of start times and faults"`
	For     time.Duration `arg:"--for" default:"8s" help:"length of one measurement"`
	Without []string      `arg:"--without" placeholder:"POLICY" help:"single policies to turn off, each measured beside the product"`
}

// Run runs the experiment and prints its report as one JSON line.
func (e *Experiment) Run(ctx context.Context, out io.Writer) error {
	directory, err := os.MkdirTemp("", "fireflyfall-experiment-")
	if err != nil {
		return &Error{Op: "experiment", Kind: KindFile, Err: err}
	}
	defer func() { _ = os.RemoveAll(directory) }()
	report, err := ffexperiment.Run(ctx, e.Name, ffexperiment.Setup{
		Seed: e.Seed, Directory: directory, Duration: e.For, Without: e.Without,
	})
	if err != nil {
		return err
	}
	return json.NewEncoder(out).Encode(report)
}
