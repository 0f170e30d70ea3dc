package ffload

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffsoak"
)

// Soak is the soak subcommand: it runs a deployment under load, version changes and
// faults, and checks every promise.
type Soak struct {
	Deployment string        `arg:"--deployment" default:"sicily" placeholder:"NAME" help:"sicily or ulaanbaatar"`
	Seed       uint64        `arg:"--seed" default:"1" help:"seed of faults, versions and start times"`
	For        time.Duration `arg:"--for" default:"60s" help:"length of the load"`
	PerService int           `arg:"--per-service" default:"2" help:"VMs of each service in each data centre; 0 for all"`
	Examples   string        `arg:"--examples" default:"examples" help:"directory of the deployments"`
	Record     string        `arg:"--record" placeholder:"FILE" help:"file for everything that was seen, as JSON"`
	Judge      string        `arg:"--judge" placeholder:"FILE" help:"judge what a soak before wrote with --record, and run nothing"`
	Schedule   bool          `arg:"--schedule" help:"print the schedule of faults and versions, and run nothing"`
}

// Run runs the soak test and prints its report as one JSON line. It returns an error
// if a promise is broken.
func (c *Soak) Run(ctx context.Context, out io.Writer) error {
	directory, err := os.MkdirTemp("", "fireflyfall-soak-")
	if err != nil {
		return &Error{Op: "soak", Kind: KindFile, Err: err}
	}
	defer func() { _ = os.RemoveAll(directory) }()
	setup := ffsoak.Options{
		Deployment: c.Deployment, Examples: c.Examples, Seed: c.Seed, For: c.For, PerService: c.PerService, Directory: directory,
	}
	if c.Schedule {
		return c.printSchedule(setup, out)
	}
	record, err := c.record(ctx, setup)
	if err != nil {
		return err
	}
	report := ffsoak.CheckRecord(record)
	if err := json.NewEncoder(out).Encode(report); err != nil {
		return err
	}
	if report.Broken() {
		report.WriteTraces(os.Stderr)
		return &Error{Op: "soak", Kind: KindBroken, Err: merry.New("a promise is broken")}
	}
	return nil
}

// record runs the soak test and returns its record, or reads the record of an earlier
// one if Judge is set.
func (c *Soak) record(ctx context.Context, setup ffsoak.Options) (*ffsoak.Record, error) {
	if c.Judge != "" {
		return ffsoak.ReadRecord(c.Judge)
	}
	record, err := ffsoak.Run(ctx, setup)
	if err != nil || c.Record == "" {
		return record, err
	}
	return record, record.Write(c.Record)
}

func (c *Soak) printSchedule(setup ffsoak.Options, out io.Writer) error {
	_, schedule, err := ffsoak.Plan(setup)
	if err != nil {
		return err
	}
	return json.NewEncoder(out).Encode(schedule)
}
