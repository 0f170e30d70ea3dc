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

// Status shows what the daemons have in force.
type Status struct {
	fleet
}

// Run asks every daemon that the one at the address knows.
func (s *Status) Run(ctx context.Context, stdout, _ io.Writer) error {
	c, vms, err := s.members(ctx, "status")
	if err != nil {
		return err
	}
	r := report{answers: c.Statuses(ctx, vms)}
	return r.write(stdout)
}

// report tells which daemons lag behind the greatest version.
type report struct {
	answers []ffoperator.Answer[ffoperator.Status]
}

func (r *report) greatest() ffconfig.Version {
	var v ffconfig.Version
	for _, a := range r.answers {
		if a.Err == nil && a.Value.Version.NewerThan(v) {
			v = a.Value.Version
		}
	}
	return v
}

func (r *report) write(w io.Writer) error {
	greatest := r.greatest()
	fmt.Fprintf(w, "greatest version in force: %s\n", greatest)
	slices.SortStableFunc(r.answers, func(a, b ffoperator.Answer[ffoperator.Status]) int {
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

func writeDataCentre(w io.Writer, answers []ffoperator.Answer[ffoperator.Status], greatest ffconfig.Version) error {
	current := 0
	for _, a := range answers {
		if laggard(a, greatest) == "" {
			current++
		}
	}
	if _, err := fmt.Fprintf(w, "%s: %d of %d daemons have it\n", answers[0].VM.DataCentre, current, len(answers)); err != nil {
		return err
	}
	for _, a := range answers {
		reason := laggard(a, greatest)
		if reason == "" {
			continue
		}
		if _, err := fmt.Fprintf(w, "  %s: %s\n", a.VM.Name, reason); err != nil {
			return err
		}
	}
	return nil
}

// laggard returns why a daemon does not serve the greatest version; empty when it does.
func laggard(a ffoperator.Answer[ffoperator.Status], greatest ffconfig.Version) string {
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
