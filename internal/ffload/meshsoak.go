package ffload

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffmeshsoak"
	"fireflyfall.dev/fireflyfall/internal/ffprocess"
)

// MeshSoak is the mesh-soak subcommand: it runs a soak test of mesh daemons, as real
// processes, for each seed in turn.
type MeshSoak struct {
	Seed  uint64        `arg:"--seed" default:"1" help:"first seed of faults and requests"`
	Seeds int           `arg:"--seeds" default:"1" help:"number of seeds, one after the other"`
	For   time.Duration `arg:"--for" default:"18s" help:"least length of the load of each seed"`
	VMs   int           `arg:"--vms" default:"5" help:"number of VMs, each with one daemon"`
	// TargetFaults adds faults of the answers of targets.
	CentreFaults bool   `arg:"--centre-faults" help:"also data centres that are evacuated or come back cold"`
	TargetFaults bool   `arg:"--target-faults" help:"also faults of the answers of targets: wrong ones, limits, leaving"`
	Keep         string `arg:"--keep" placeholder:"DIR" help:"directory for the records of seeds that broke a promise, with the daemons' logs"`
}

// meshReport summarizes the soak test of one seed.
type meshReport struct {
	Seed     uint64   `json:"seed"`
	Requests int      `json:"requests"`
	Served   int      `json:"served"`
	Events   int      `json:"events"`
	Broken   []string `json:"broken"`
}

// Run prints one JSON line per seed. It returns an error if a promise is broken.
func (c *MeshSoak) Run(ctx context.Context, out io.Writer) error {
	directory, err := os.MkdirTemp("", "fireflyfall-mesh-")
	if err != nil {
		return &Error{Op: "mesh soak", Kind: KindFile, Err: err}
	}
	defer func() { _ = os.RemoveAll(directory) }()
	binaries := &ffprocess.Binaries{Directory: directory}
	program, err := binaries.Path(ctx, "fireflyfall")
	if err != nil {
		return err
	}
	broken := 0
	for seed := c.Seed; seed < c.Seed+uint64(c.Seeds); seed++ {
		rec, err := ffmeshsoak.Run(ctx, ffmeshsoak.Options{
			Program: program, Directory: directory, Seed: seed, MinDuration: c.For, VMs: c.VMs, TargetFaults: c.TargetFaults, CentreFaults: c.CentreFaults,
		})
		if err != nil {
			return err
		}
		report := newMeshReport(rec)
		broken += len(report.Broken)
		if err := json.NewEncoder(out).Encode(report); err != nil {
			return err
		}
		if err := c.saveRecord(rec, report); err != nil {
			return err
		}
	}
	if broken > 0 {
		return &Error{Op: "mesh soak", Kind: KindBroken, Err: merry.Errorf("promises broken %d times", broken)}
	}
	return nil
}

// saveRecord writes the record of a seed that broke a promise to the directory Keep, which
// it creates, if one is set.
func (c *MeshSoak) saveRecord(rec *ffmeshsoak.Record, report meshReport) error {
	if c.Keep == "" || len(report.Broken) == 0 {
		return nil
	}
	b, err := json.Marshal(rec)
	if err != nil {
		return &Error{Op: "save record", Kind: KindFile, Err: err}
	}
	if err := os.MkdirAll(c.Keep, 0o700); err != nil {
		return &Error{Op: "save record", Kind: KindFile, Err: err}
	}
	if err := os.WriteFile(filepath.Join(c.Keep, fmt.Sprintf("seed-%d.json", rec.Seed)), b, 0o600); err != nil {
		return &Error{Op: "save record", Kind: KindFile, Err: err}
	}
	return nil
}

func newMeshReport(rec *ffmeshsoak.Record) meshReport {
	r := meshReport{Seed: rec.Seed, Requests: len(rec.Attempts), Events: len(rec.Happenings), Broken: []string{}}
	for _, a := range rec.Attempts {
		if a.Signer != "" {
			r.Served++
		}
	}
	for _, b := range ffmeshsoak.Check(rec) {
		r.Broken = append(r.Broken, b.Promise.String()+": "+b.Message)
	}
	return r
}
