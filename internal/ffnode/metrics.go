package ffnode

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"fireflyfall.dev/fireflyfall/internal/ffgossip"
	"fireflyfall.dev/fireflyfall/internal/ffinbound"
	"fireflyfall.dev/fireflyfall/internal/ffmesh"
	"fireflyfall.dev/fireflyfall/internal/ffoutbound"
)

// sampledMetric is a metric whose value is computed at each scrape.
type sampledMetric struct {
	name, help string
	value      func() float64
}

// provideRegistry returns a registry with the metrics of the daemon's current state.
func provideRegistry(state *ffgossip.State, reader *ffgossip.Reader, gate *ffinbound.Gate, budget *ffoutbound.RetryBudget, hedges *ffoutbound.Hedges, memory *ffmesh.Memory) (*prometheus.Registry, error) {
	r := prometheus.NewRegistry()
	all := []prometheus.Collector{
		newEvacuatedCollector(state.Fleet),
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	}
	for _, g := range []sampledMetric{
		{"fireflyfall_word_age_seconds", "Age of what the store was last known to say.", func() float64 { return snapshotAge(state) }},
		{"fireflyfall_word_version", "Version of the configuration in force.", func() float64 { return float64(state.Snapshot().Version()) }},
		{"fireflyfall_targets", "Targets in use.", func() float64 { return float64(state.Fleet().Len()) }},
		{"fireflyfall_gate_running", "Calls at the target.", func() float64 { return float64(gate.Load().Running) }},
		{"fireflyfall_gate_queued", "Calls that wait for a slot.", func() float64 { return float64(gate.Load().Queued) }},
		{"fireflyfall_gate_service_seconds", "Mean service time of the target.", func() float64 { return gate.Load().Typical.Seconds() }},
		{"fireflyfall_gate_intake_seconds", "Time that long bodies on their way still take.", func() float64 { return gate.Load().Intake.Seconds() }},
		{"fireflyfall_gate_limit", "Calls per second that the target takes now; 0 without a limit.", func() float64 { return float64(gate.Load().Limit) }},
		{"fireflyfall_body_bytes", "Bodies in memory: of requests, and of responses that clients have not read yet.", func() float64 { return float64(memory.Used()) }},
		{"fireflyfall_evacuated", "Evacuated data centres.", func() float64 { return float64(len(state.Fleet().Evacuated())) }},
		{"fireflyfall_hedge_limit", "Share of the work that copies of slow calls may cost; -1 without a limit.", func() float64 { return hedgeLimit(hedges) }},
		{"fireflyfall_repeats_left", "Repeats that the budget still has for the service that has least.", func() float64 { return budget.Remaining(time.Now()) }},
	} {
		all = append(all, prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: g.name, Help: g.help}, g.value))
	}
	for _, c := range []sampledMetric{
		{"fireflyfall_store_reads_total", "Calls to the store that were answered.", func() float64 { return float64(reader.Reads.Load()) }},
		{"fireflyfall_hedges_total", "Copies of slow calls.", func() float64 { return float64(hedges.Totals().Copies) }},
		{"fireflyfall_hedge_work_seconds_total", "Work of copies of slow calls, and of the calls that they made, under a limit.", func() float64 { return hedges.Totals().ExtraWork.Seconds() }},
		{"fireflyfall_call_work_seconds_total", "Work of idempotent calls, under a limit.", func() float64 { return hedges.Totals().CallWork.Seconds() }},
		{"fireflyfall_store_failures_total", "Calls to the store that failed.", func() float64 { return float64(reader.Failures.Load()) }},
	} {
		all = append(all, prometheus.NewCounterFunc(prometheus.CounterOpts{Name: c.name, Help: c.help}, c.value))
	}
	for _, c := range all {
		if err := r.Register(c); err != nil {
			return nil, &Error{Op: "register metrics", Kind: KindMetrics, Err: err}
		}
	}
	return r, nil
}

// hedgeLimit returns the share of the limit on copies of slow calls, or -1 if there is none.
func hedgeLimit(h *ffoutbound.Hedges) float64 {
	share, ok := h.Limit().Share()
	if !ok {
		return -1
	}
	return share
}

// snapshotAge returns the time since the snapshot of the store was last confirmed, in
// seconds, or -1 if there is no snapshot.
func snapshotAge(state *ffgossip.State) float64 {
	confirmed := state.Snapshot().ConfirmedAt
	if confirmed.IsZero() {
		return -1
	}
	return time.Since(confirmed).Seconds()
}
