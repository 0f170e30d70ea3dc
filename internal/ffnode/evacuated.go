package ffnode

import (
	"github.com/prometheus/client_golang/prometheus"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
)

// evacuatedCollector collects a metric for each evacuated data centre, with its name.
type evacuatedCollector struct {
	fleet func() fffleet.Fleet
	desc  *prometheus.Desc
}

// newEvacuatedCollector returns a collector of the data centres that are evacuated in fleet.
func newEvacuatedCollector(fleet func() fffleet.Fleet) *evacuatedCollector {
	desc := prometheus.NewDesc("fireflyfall_evacuated_data_centre", "1 for each evacuated data centre.", []string{"dataCentre"}, nil)
	return &evacuatedCollector{fleet: fleet, desc: desc}
}

// Describe implements prometheus.Collector.
func (c *evacuatedCollector) Describe(descs chan<- *prometheus.Desc) { descs <- c.desc }

// Collect implements prometheus.Collector.
func (c *evacuatedCollector) Collect(metrics chan<- prometheus.Metric) {
	for _, name := range c.fleet().Evacuated() {
		metrics <- prometheus.MustNewConstMetric(c.desc, prometheus.GaugeValue, 1, name)
	}
}
