package ffmeshsoak_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffmeshsoak"
	"fireflyfall.dev/fireflyfall/internal/ffprocess"
)

const (
	// soakTime is the minimum length of each soak in the tests; longer ones are run by hand.
	soakTime = 18 * time.Second
	soakVMs  = 5
	// cancelAfter is the time after which TestCancelledSoakHasNoRecord cancels the soak.
	cancelAfter = 3 * time.Second
)

// TestSeeds soaks a mesh with each seed of testdata/seeds: one that is always run, and
// every seed that once failed and whose fault was fixed.
func TestSeeds(t *testing.T) { soakSeeds(t, "testdata/seeds", ffmeshsoak.Options{}) }

// TestTargetFaults does the same with targets that answer wrongly, name limits or say that
// they leave.
func TestTargetFaults(t *testing.T) {
	soakSeeds(t, "testdata/targetFaults", ffmeshsoak.Options{TargetFaults: true})
}

// TestCentreFaults does the same with data centres that are evacuated or come back cold.
func TestCentreFaults(t *testing.T) {
	soakSeeds(t, "testdata/centreFaults", ffmeshsoak.Options{CentreFaults: true})
}

// TestOpenSeeds soaks a mesh with the seeds that failed for an unresolved cause.
func TestOpenSeeds(t *testing.T) { soakSeeds(t, "testdata/open", ffmeshsoak.Options{}) }

// TestCancelledSoakHasNoRecord checks that Run returns no record if ctx ends early.
func TestCancelledSoakHasNoRecord(t *testing.T) {
	binaries := &ffprocess.Binaries{Directory: t.TempDir()}
	program, err := binaries.Path(t.Context(), "fireflyfall")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(cancelAfter, cancel)
	rec, err := ffmeshsoak.Run(ctx, ffmeshsoak.Options{
		Program: program, Directory: t.TempDir(), Seed: 1, MinDuration: soakTime, VMs: soakVMs,
	})
	if rec != nil || !errors.Is(err, context.Canceled) {
		t.Errorf("record %v, error %v", rec != nil, err)
	}
}

// soakSeeds soaks a mesh with each seed of a file, and the faults of o.
func soakSeeds(t *testing.T, path string, o ffmeshsoak.Options) {
	t.Helper()
	binaries := &ffprocess.Binaries{Directory: t.TempDir()}
	program, err := binaries.Path(t.Context(), "fireflyfall")
	if err != nil {
		t.Fatal(err)
	}
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var seed uint64
		if text := lines.Text(); strings.HasPrefix(text, "#") {
			continue
		} else if _, err := fmt.Sscan(text, &seed); err != nil {
			t.Fatalf("%q: %v", text, err)
		}
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			o.Program, o.Directory, o.Seed = program, t.TempDir(), seed
			o.MinDuration, o.VMs = soakTime, soakVMs
			rec, err := ffmeshsoak.Run(t.Context(), o)
			if err != nil {
				t.Fatal(err)
			}
			for _, b := range ffmeshsoak.Check(rec) {
				t.Errorf("%v: %s", b.Promise, b.Message)
			}
			t.Logf("%d requests, %d events", len(rec.Attempts), len(rec.Happenings))
		})
	}
}
