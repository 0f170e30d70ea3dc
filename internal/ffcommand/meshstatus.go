package ffcommand

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffscrape"
)

// meshTimeout bounds a question to one daemon of the mesh.
const meshTimeout = 5 * time.Second

// MeshStatus prints what daemons on the users' platform have in force.
type MeshStatus struct {
	Addresses []string `arg:"positional,required" placeholder:"HOST:PORT" help:"metrics addresses of daemons"`
}

// Run asks each daemon for its metrics and prints a line for each. It fails if one does not
// answer.
func (m *MeshStatus) Run(ctx context.Context, stdout, stderr io.Writer) error {
	failed := 0
	for _, address := range m.Addresses {
		if err := printMeshStatus(ctx, stdout, address); err != nil {
			failed++
			fmt.Fprintf(stderr, "%s: %v\n", address, err)
		}
	}
	if failed > 0 {
		return &Error{Op: "mesh-status", Kind: KindFailed, Err: merry.Errorf("%d of %d daemons did not answer", failed, len(m.Addresses))}
	}
	return nil
}

// printMeshStatus prints the line of the daemon whose metrics are at address.
func printMeshStatus(ctx context.Context, w io.Writer, address string) error {
	ctx, cancel := context.WithTimeout(ctx, meshTimeout)
	defer cancel()
	m, err := ffscrape.Read(ctx, address)
	if err != nil {
		return err
	}
	evacuated := strings.Join(m.Labels("fireflyfall_evacuated_data_centre", "dataCentre"), " ")
	_, err = fmt.Fprintf(w, "%s: version %.0f, confirmed %.1f s ago, %.0f targets, evacuated: %s, copies of slow calls: %s, target: %s\n",
		address, m.Sum("fireflyfall_word_version"), m.Sum("fireflyfall_word_age_seconds"), m.Sum("fireflyfall_targets"),
		cmp.Or(evacuated, "none"), describeCopies(m), describeTarget(m))
	return err
}

// describeCopies describes the limit on copies of slow calls, and what they cost so far.
func describeCopies(m ffscrape.Metrics) string {
	limit := m.Sum("fireflyfall_hedge_limit")
	if limit < 0 {
		return "no limit"
	}
	work := m.Sum("fireflyfall_call_work_seconds_total")
	if work == 0 {
		return fmt.Sprintf("at most %g of the work", limit)
	}
	return fmt.Sprintf("at most %g of the work, %.3f spent", limit, m.Sum("fireflyfall_hedge_work_seconds_total")/work)
}

// describeTarget describes what the target beside the daemon runs and takes now.
func describeTarget(m ffscrape.Metrics) string {
	running := fmt.Sprintf("%.0f calls running", m.Sum("fireflyfall_gate_running"))
	if limit := m.Sum("fireflyfall_gate_limit"); limit > 0 {
		return fmt.Sprintf("%s, at most %g a second", running, limit)
	}
	return running
}
