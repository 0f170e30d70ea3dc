package ffcommand

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// meshStatusTimeout bounds the question to one daemon.
const meshStatusTimeout = 5 * time.Second

// MeshStatus prints what daemons on the users' platform have in force.
type MeshStatus struct {
	Addresses []string `arg:"positional,required" placeholder:"HOST:PORT" help:"metrics addresses of daemons"`
}

// Run asks each daemon for its metrics and prints a line for each. It fails if one does not
// answer.
func (m *MeshStatus) Run(ctx context.Context, stdout, stderr io.Writer) error {
	failed := 0
	for _, address := range m.Addresses {
		metrics, err := readMetrics(ctx, address)
		if err != nil {
			failed++
			fmt.Fprintf(stderr, "%s: %v\n", address, err)
			continue
		}
		if _, err := fmt.Fprintf(stdout, "%s: %s\n", address, metrics.status()); err != nil {
			return &Error{Op: "mesh-status", Kind: KindFailed, Err: err}
		}
	}
	if failed > 0 {
		return &Error{Op: "mesh-status", Kind: KindFailed, Err: merry.Errorf("%d of %d daemons did not answer", failed, len(m.Addresses))}
	}
	return nil
}

// meshMetrics are the metrics of one daemon by name.
type meshMetrics map[string]*dto.MetricFamily

// readMetrics returns the metrics of the daemon at address.
func readMetrics(ctx context.Context, address string) (meshMetrics, error) {
	ctx, cancel := context.WithTimeout(ctx, meshStatusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", http.NoBody)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, merry.Errorf("status %d", resp.StatusCode)
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	return parser.TextToMetricFamilies(resp.Body)
}

// status returns the line that describes a daemon.
func (m meshMetrics) status() string {
	return fmt.Sprintf("version %.0f, confirmed %.1f s ago, %.0f targets, evacuated: %s, copies of slow calls: %s, target: %s",
		m.value("fireflyfall_word_version"), m.value("fireflyfall_word_age_seconds"), m.value("fireflyfall_targets"),
		m.evacuated(), m.copies(), m.target())
}

// evacuated returns the names of the evacuated data centres.
func (m meshMetrics) evacuated() string {
	var names []string
	for _, metric := range m["fireflyfall_evacuated_data_centre"].GetMetric() {
		for _, label := range metric.GetLabel() {
			names = append(names, label.GetValue())
		}
	}
	if len(names) == 0 {
		return "none"
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}

// copies returns the limit on copies of slow calls, and what they cost so far.
func (m meshMetrics) copies() string {
	limit := m.value("fireflyfall_hedge_limit")
	if limit < 0 {
		return "no limit"
	}
	extra, work := m.value("fireflyfall_hedge_work_seconds_total"), m.value("fireflyfall_call_work_seconds_total")
	return fmt.Sprintf("at most %g of the work, %.3f spent", limit, extra/max(work, 1e-9))
}

// target returns what the target beside the daemon takes now.
func (m meshMetrics) target() string {
	if limit := m.value("fireflyfall_gate_limit"); limit > 0 {
		return fmt.Sprintf("%.0f calls running, at most %g a second", m.value("fireflyfall_gate_running"), limit)
	}
	return fmt.Sprintf("%.0f calls running", m.value("fireflyfall_gate_running"))
}

// value returns the value of a gauge or counter without labels; 0 if there is none.
func (m meshMetrics) value(name string) float64 {
	for _, metric := range m[name].GetMetric() {
		return metric.GetGauge().GetValue() + metric.GetCounter().GetValue()
	}
	return 0
}
