package ffdistribution

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// nodeCounts counts the events of a node.
type nodeCounts struct {
	exchanges, pulls, pullsFailed, corrupt, platformCalls, pauses atomic.Int64
}

// storeCounts counts the events of a store.
type storeCounts struct {
	applied, refused, conflicts atomic.Int64
}

var (
	versionDesc   = prometheus.NewDesc("fireflyfall_version_number", "Number of the version in force.", nil, nil)
	appliedDesc   = prometheus.NewDesc("fireflyfall_versions_applied_total", "Versions put in force.", nil, nil)
	refusedDesc   = prometheus.NewDesc("fireflyfall_versions_refused_total", "Versions refused for a fault.", nil, nil)
	conflictsDesc = prometheus.NewDesc("fireflyfall_version_conflicts_total", "Versions seen that share their number with other content.", nil, nil)
)

// Describe sends the descriptions of the metrics.
func (s *Store) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{versionDesc, appliedDesc, refusedDesc, conflictsDesc} {
		ch <- d
	}
}

// Collect sends the metrics.
func (s *Store) Collect(ch chan<- prometheus.Metric) {
	ch <- prometheus.MustNewConstMetric(versionDesc, prometheus.GaugeValue, float64(s.Version().Number))
	ch <- prometheus.MustNewConstMetric(appliedDesc, prometheus.CounterValue, float64(s.counts.applied.Load()))
	ch <- prometheus.MustNewConstMetric(refusedDesc, prometheus.CounterValue, float64(s.counts.refused.Load()))
	ch <- prometheus.MustNewConstMetric(conflictsDesc, prometheus.CounterValue, float64(s.counts.conflicts.Load()))
}

var nodeDesc = prometheus.NewDesc("fireflyfall_distribution_events_total", "Events of the distribution by kind.", []string{"event"}, nil)

var vmsDesc = prometheus.NewDesc("fireflyfall_vms", "Live VMs that the view shows.", nil, nil)

// Describe sends the descriptions of the metrics.
func (n *Node) Describe(ch chan<- *prometheus.Desc) {
	ch <- nodeDesc
	ch <- vmsDesc
}

// Collect sends the metrics.
func (n *Node) Collect(ch chan<- prometheus.Metric) {
	events := []struct {
		name  string
		count *atomic.Int64
	}{
		{"exchange", &n.counts.exchanges},
		{"pull", &n.counts.pulls},
		{"pullFailed", &n.counts.pullsFailed},
		{"corruptPiece", &n.counts.corrupt},
		{"platformCall", &n.counts.platformCalls},
		{"pause", &n.counts.pauses},
	}
	for _, e := range events {
		ch <- prometheus.MustNewConstMetric(nodeDesc, prometheus.CounterValue, float64(e.count.Load()), e.name)
	}
	ch <- prometheus.MustNewConstMetric(vmsDesc, prometheus.GaugeValue, float64(len(n.Members.View().AllLive())))
}
