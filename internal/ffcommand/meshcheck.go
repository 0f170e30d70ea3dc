package ffcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffgossip"
	"fireflyfall.dev/fireflyfall/internal/ffroute"
	"fireflyfall.dev/fireflyfall/platform"
)

// MeshCheck checks a configuration for the users' platform before it is sent.
type MeshCheck struct {
	File    string `arg:"positional,required" placeholder:"FILE" help:"configuration as it is written to the store, JSON"`
	InForce string `arg:"--in-force" placeholder:"FILE" help:"the version in force; prints what changes for requests"`
	From    string `arg:"--from" placeholder:"HOST:PORT" help:"peer address of a daemon that has the version in force, in place of a file"`
	Strict  bool   `arg:"--strict" help:"exit 1 on warnings"`
	JSON    bool   `arg:"--json" help:"print one JSON document"`
}

// meshReport is what MeshCheck prints.
type meshReport struct {
	Findings []meshFinding `json:"findings"`
	Changes  []string      `json:"changes"`
}

// meshFinding is one finding of a report.
type meshFinding struct {
	Line     int    `json:"line"`
	Severity string `json:"severity"`
	Field    string `json:"field,omitempty"`
	Message  string `json:"message"`
}

// Run prints the findings and the changes. It fails if there are errors or, with --strict,
// warnings.
func (m *MeshCheck) Run(ctx context.Context, stdout, _ io.Writer) error {
	if m.InForce != "" && m.From != "" {
		return &Error{Op: "mesh-check", Kind: KindUsage, Err: merry.New("--in-force and --from exclude each other")}
	}
	b, err := os.ReadFile(m.File)
	if err != nil {
		return &Error{Op: "mesh-check", Kind: KindInvalid, Err: err}
	}
	findings, table := platform.CheckConfig(b)
	report := meshReport{Findings: []meshFinding{}, Changes: []string{}}
	errs, warnings := 0, 0
	for _, f := range findings {
		if f.Severity == ffroute.SeverityError {
			errs++
		} else {
			warnings++
		}
		report.Findings = append(report.Findings, meshFinding{Line: f.Line, Severity: f.Severity.String(), Field: f.Path, Message: f.Message})
	}
	if report.Changes, err = m.changes(ctx, table); err != nil {
		return err
	}
	if err := m.print(stdout, report); err != nil {
		return &Error{Op: "mesh-check", Kind: KindFailed, Err: err}
	}
	switch {
	case errs > 0:
		return &Error{Op: "mesh-check", Kind: KindInvalid, Err: merry.Errorf("%d errors, %d warnings", errs, warnings)}
	case warnings > 0 && m.Strict:
		return &Error{Op: "mesh-check", Kind: KindFault, Err: merry.Errorf("%d warnings", warnings)}
	}
	return nil
}

// changes returns what changes for requests if table follows the version in force.
func (m *MeshCheck) changes(ctx context.Context, table *ffroute.Table) ([]string, error) {
	if table == nil || m.InForce == "" && m.From == "" {
		return []string{}, nil
	}
	base, err := m.inForce(ctx)
	if err != nil {
		return nil, err
	}
	return append([]string{}, table.Effects(base)...), nil
}

// inForce returns the version in force, from a file or from a running daemon.
func (m *MeshCheck) inForce(ctx context.Context) (*ffroute.Table, error) {
	if m.From != "" {
		ctx, cancel := context.WithTimeout(ctx, meshTimeout)
		defer cancel()
		table, err := ffgossip.ReadTable(ctx, m.From)
		if err != nil {
			return nil, &Error{Op: "mesh-check", Kind: KindFailed, Err: err}
		}
		return table, nil
	}
	b, err := os.ReadFile(m.InForce)
	if err != nil {
		return nil, &Error{Op: "mesh-check", Kind: KindInvalid, Err: err}
	}
	table, err := platform.ReadConfig(b)
	if err != nil {
		return nil, &Error{Op: "mesh-check", Kind: KindInvalid, Err: merry.Prependf(err, "%s", m.InForce)}
	}
	return table, nil
}

// print prints a report, one line for each finding and change.
func (m *MeshCheck) print(w io.Writer, report meshReport) error {
	if m.JSON {
		return json.NewEncoder(w).Encode(report)
	}
	for _, f := range report.Findings {
		place := f.Field + ": "
		if f.Field == "" {
			place = ""
		}
		if _, err := fmt.Fprintf(w, "%s:%d: %s: %s%s\n", m.File, f.Line, f.Severity, place, f.Message); err != nil {
			return err
		}
	}
	for _, line := range report.Changes {
		if _, err := fmt.Fprintln(w, line); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%d findings, %d changes\n", len(report.Findings), len(report.Changes))
	return err
}
