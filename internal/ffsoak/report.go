package ffsoak

import (
	"fmt"
	"io"

	"fireflyfall.dev/fireflyfall/pkg/ffclient"
)

// Report is the result of a soak, printed as one JSON line.
type Report struct {
	Deployment               string              `json:"deployment"`
	Seed                     uint64              `json:"seed"`
	Faults                   []string            `json:"faults"`
	Injected                 int                 `json:"injected"`
	Versions                 int                 `json:"versions"`
	Calls                    int                 `json:"calls"`
	Answered                 int                 `json:"answered"`
	NotRun                   int                 `json:"notRun"`
	Unknown                  int                 `json:"unknown"`
	Executions               int                 `json:"executions"`
	Doubled                  int                 `json:"doubled"`
	Cut                      int                 `json:"cut"`
	Crossed                  int                 `json:"crossed"`
	VersionsReverted         int                 `json:"versionsReverted"`
	PartialVersions          int                 `json:"partialVersions"`
	NewWorkOnLeaving         int                 `json:"newWorkOnLeaving"`
	SlowestConvergenceMillis int64               `json:"slowestConvergenceMillis"`
	Promises                 map[Promise]Verdict `json:"promises"`

	findings []Finding
}

// CheckRecord runs every check on a record.
func CheckRecord(r *Record) Report {
	x := newIndex(r)
	older := checkNeverOlder(x)
	lacking := checkNoLackingRoute(x)
	inPart := checkNeverInPart(x)
	answers := checkWholeAnswer(x)
	notRun := checkNotRun(x)
	once := checkAtMostOnce(x)
	leaving := checkLeaving(x)
	stops := checkGracefulStop(x)
	converged := checkConvergence(x)
	report := Report{
		Deployment: r.Deployment, Seed: r.Seed, Faults: []string{}, Injected: len(r.Faults), Versions: len(r.Publications), Calls: len(r.Calls), Executions: len(r.Executions),
		Doubled: once.Count, Cut: answers.cut + stops.cut, Crossed: answers.crossed,
		VersionsReverted: older.Count, PartialVersions: inPart.Count, NewWorkOnLeaving: leaving.Count,
		SlowestConvergenceMillis: converged.slowest.Milliseconds(),
		Promises:                 make(map[Promise]Verdict),
		findings: []Finding{
			older, lacking, inPart, answers.Finding, notRun, once, leaving, stops.Finding, converged.Finding,
		},
	}
	for _, f := range r.Schedule.Faults {
		report.Faults = append(report.Faults, f.String())
	}
	for _, c := range r.Calls {
		report.count(c.Outcome)
	}
	for _, f := range report.findings {
		report.Promises[f.Promise] = f.Verdict
	}
	return report
}

func (r *Report) count(o ffclient.Outcome) {
	switch o {
	case ffclient.OutcomeRan:
		r.Answered++
	case ffclient.OutcomeNotRun:
		r.NotRun++
	default:
		r.Unknown++
	}
}

// Broken reports whether any promise was broken.
func (r *Report) Broken() bool {
	for _, f := range r.findings {
		if f.Verdict == VerdictBroken {
			return true
		}
	}
	return false
}

// WriteTraces writes the shortest evidence of each broken promise.
func (r *Report) WriteTraces(w io.Writer) {
	for _, f := range r.findings {
		if f.Verdict != VerdictBroken {
			continue
		}
		fmt.Fprintf(w, "%s broken %d times; the shortest trace:\n", f.Promise, f.Count)
		for _, line := range f.Trace {
			fmt.Fprintf(w, "  %s\n", line)
		}
	}
}
