package ffcommand

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"

	"fireflyfall.dev/fireflyfall/internal/ffoperator"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// Status prints which configuration versions the daemons have in force.
type Status struct {
	fleetArguments
}

// Run requests the status of every daemon in the member list of the daemon at s.Address
// and prints a report.
func (s *Status) Run(ctx context.Context, stdout, _ io.Writer) error {
	c, vms, err := s.members(ctx, "status")
	if err != nil {
		return err
	}
	r := versionReport{answers: c.Statuses(ctx, vms)}
	return r.write(stdout)
}

// versionReport lists the daemons that don't serve the greatest version.
type versionReport struct {
	answers []ffoperator.Result[ffoperator.Status]
}

// greatestVersion returns the greatest version that any daemon has in force.
func (r *versionReport) greatestVersion() ffconfig.Version {
	var v ffconfig.Version
	for _, a := range r.answers {
		if a.Err == nil && a.Value.Version.NewerThan(v) {
			v = a.Value.Version
		}
	}
	return v
}

// write writes the report, sorted by data centre and name.
func (r *versionReport) write(w io.Writer) error {
	greatest := r.greatestVersion()
	fmt.Fprintf(w, "greatest version in force: %s\n", greatest)
	slices.SortStableFunc(r.answers, func(a, b ffoperator.Result[ffoperator.Status]) int {
		return cmp.Or(cmp.Compare(a.VM.DataCentre, b.VM.DataCentre), cmp.Compare(a.VM.Name, b.VM.Name))
	})
	for start := 0; start < len(r.answers); {
		end := start
		for end < len(r.answers) && r.answers[end].VM.DataCentre == r.answers[start].VM.DataCentre {
			end++
		}
		if err := writeDataCentre(w, r.answers[start:end], greatest); err != nil {
			return err
		}
		start = end
	}
	return nil
}

// writeDataCentre writes how many daemons of a data centre serve the greatest version and
// lists the others with the reason.
func writeDataCentre(w io.Writer, answers []ffoperator.Result[ffoperator.Status], greatest ffconfig.Version) error {
	current := 0
	for _, a := range answers {
		if lagReason(a, greatest) == "" {
			current++
		}
	}
	if _, err := fmt.Fprintf(w, "%s: %d of %d daemons have it\n", answers[0].VM.DataCentre, current, len(answers)); err != nil {
		return err
	}
	for _, a := range answers {
		reason := lagReason(a, greatest)
		if reason == "" {
			continue
		}
		if _, err := fmt.Fprintf(w, "  %s: %s\n", a.VM.Name, reason); err != nil {
			return err
		}
	}
	return nil
}

// lagReason returns why a daemon doesn't serve the greatest version, or "" if it does.
func lagReason(a ffoperator.Result[ffoperator.Status], greatest ffconfig.Version) string {
	switch {
	case a.Err != nil:
		return "no answer: " + a.Err.Error()
	case a.Value.Version != greatest:
		return "has version " + a.Value.Version.String()
	case !a.Value.Ready:
		return "not ready: " + a.Value.Reason
	case a.Value.Draining:
		return "draining"
	}
	return ""
}
