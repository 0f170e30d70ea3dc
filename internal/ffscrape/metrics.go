package ffscrape

import (
	"context"
	"net/http"
	"slices"

	"github.com/ansel1/merry/v2"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// Metrics are the metrics of a daemon at one moment. The zero value has none.
type Metrics struct{ families map[string]*dto.MetricFamily }

// Read returns the metrics that are served at address, a host and a port.
func Read(ctx context.Context, address string) (Metrics, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", http.NoBody)
	if err != nil {
		return Metrics{}, &Error{Op: "read metrics", Kind: KindFormat, Err: err}
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return Metrics{}, &Error{Op: "read metrics", Kind: KindUnreachable, Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return Metrics{}, &Error{Op: "read metrics", Kind: KindUnreachable, Err: merry.New(resp.Status)}
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		return Metrics{}, &Error{Op: "read metrics", Kind: KindFormat, Err: err}
	}
	return Metrics{families: families}, nil
}

// Sum returns the sum of all gauges and counters of a name; 0 if there is none.
func (m Metrics) Sum(name string) float64 {
	total := 0.0
	for _, metric := range m.families[name].GetMetric() {
		total += metric.GetGauge().GetValue() + metric.GetCounter().GetValue()
	}
	return total
}

// Labels returns the values of a label of all metrics of a name, sorted.
func (m Metrics) Labels(name, label string) []string {
	var values []string
	for _, metric := range m.families[name].GetMetric() {
		for _, pair := range metric.GetLabel() {
			if pair.GetName() == label {
				values = append(values, pair.GetValue())
			}
		}
	}
	slices.Sort(values)
	return values
}
