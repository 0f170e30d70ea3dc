package ffexperiment

import (
	"context"
	"slices"
	"time"
)

const (
	// convergenceChanges is the number of versions published for each fleet size.
	convergenceChanges = 8
	// convergenceLimit is the maximum time until all daemons have applied a version.
	convergenceLimit = 5 * time.Second
	// controlBytesLimit is the maximum control traffic of a daemon, in bytes a second.
	controlBytesLimit = 20_000
	// platformRate is the platform's rate limit, in calls a second.
	platformRate = 2000
)

// convergenceSizes are the fleet sizes, in daemons.
var convergenceSizes = []int{30, 90, 180}

// convergenceConfig is the size of the configuration.
var convergenceConfig = syntheticConfig{services: 20, contracts: 100}

// convergence measures the time until all daemons have applied a version, and the
// load on the platform and the daemons, for several fleet sizes.
type convergence struct{}

// convergenceFigures are the figures of one fleet size.
type convergenceFigures struct {
	Daemons int `json:"daemons"`
	// MedianMillis and MostMillis are the median and the maximum, over all versions,
	// of the time until the last daemon applied the version.
	MedianMillis float64 `json:"medianMillis"`
	MostMillis   float64 `json:"mostMillis"`
	// PlatformCallsPerSecond is the mean rate of platform calls; a waiting watch counts
	// as one call a second.
	PlatformCallsPerSecond float64 `json:"platformCallsPerSecond"`
	// PlatformMostPerSecond is the maximum number of calls in one second.
	PlatformMostPerSecond float64 `json:"platformMostPerSecond"`
	// BytesPerSecond is the mean control traffic of a daemon, MostBytesPerSecond that
	// of the daemon with the most.
	BytesPerSecond     float64 `json:"bytesPerSecond,omitempty"`
	MostBytesPerSecond float64 `json:"mostBytesPerSecond,omitempty"`
}

// Run measures each fleet size, with pollers as the baseline and daemons as the
// product.
func (e convergence) Run(ctx context.Context, s Setup) (Report, error) {
	var baseline, product []convergenceFigures
	for _, daemons := range convergenceSizes {
		b, p, err := e.measure(ctx, s, daemons)
		if err != nil {
			return Report{}, err
		}
		baseline = append(baseline, b)
		product = append(product, p)
	}
	return Report{
		Baseline: baseline,
		Product:  product,
		Target:   "in force everywhere within 5 s; platform calls do not grow with daemons; control below 20000 bytes a second",
		Met:      convergenceMet(product),
	}, nil
}

func convergenceMet(product []convergenceFigures) bool {
	first, last := product[0], product[len(product)-1]
	met := last.PlatformCallsPerSecond <= 2*first.PlatformCallsPerSecond
	for _, f := range product {
		met = met && f.MostMillis <= millis(convergenceLimit) && f.MostBytesPerSecond <= controlBytesLimit
	}
	return met
}

func (e convergence) measure(ctx context.Context, s Setup, daemons int) (baseline, product convergenceFigures, err error) {
	m, err := startControl(ctx, s, daemons, platformRate, convergenceConfig)
	if err != nil {
		return baseline, product, err
	}
	defer m.close()
	if product, err = e.distributed(ctx, m); err != nil {
		return baseline, product, err
	}
	for _, n := range m.deployment.Nodes {
		if err := n.Daemon.Kill(); err != nil {
			return baseline, product, err
		}
	}
	baseline, err = e.polled(ctx, m)
	return baseline, product, err
}

// distributed measures the daemons, which distribute versions among themselves.
func (convergence) distributed(ctx context.Context, m *controlMesh) (convergenceFigures, error) {
	f := convergenceFigures{Daemons: len(m.deployment.Nodes)}
	before, err := m.usage(ctx)
	if err != nil {
		return f, err
	}
	if err := m.deployment.Platform.ResetCounters(ctx); err != nil {
		return f, err
	}
	start := time.Now()
	var last []time.Duration
	for range convergenceChanges {
		took, err := m.converge(ctx)
		if err != nil {
			return f, err
		}
		last = append(last, took[len(took)-1])
		pause(ctx, time.Second)
	}
	if err := f.record(ctx, m, start, last); err != nil {
		return f, err
	}
	after, err := m.usage(ctx)
	c := costOf(before, after)
	f.BytesPerSecond, f.MostBytesPerSecond = c.BytesPerSecond, c.MostBytesPerSecond
	return f, err
}

// polled measures as many pollers as there are daemons.
func (convergence) polled(ctx context.Context, m *controlMesh) (convergenceFigures, error) {
	f := convergenceFigures{Daemons: len(m.deployment.Nodes)}
	fleet := startPollers(ctx, m.deployment.PlatformAddress(), f.Daemons, pollInterval)
	defer fleet.close()
	pause(ctx, settleTime)
	if err := m.deployment.Platform.ResetCounters(ctx); err != nil {
		return f, err
	}
	start := time.Now()
	var last []time.Duration
	for range convergenceChanges {
		limited, cancel := context.WithTimeout(ctx, convergeTimeout)
		published := time.Now()
		v, err := m.synthetic.publish(limited, m.deployment, m.directory)
		if err != nil {
			cancel()
			return f, err
		}
		at, err := fleet.await(limited, v)
		cancel()
		if err != nil {
			return f, err
		}
		last = append(last, at.Sub(published))
		pause(ctx, time.Second)
	}
	return f, f.record(ctx, m, start, last)
}

// record stores the median and maximum of the convergence times, which it sorts, and
// the platform's call rates since start.
func (f *convergenceFigures) record(ctx context.Context, m *controlMesh, start time.Time, last []time.Duration) error {
	slices.Sort(last)
	f.MedianMillis = millis(last[len(last)/2])
	f.MostMillis = millis(last[len(last)-1])
	counters, err := m.deployment.Platform.Counters(ctx)
	f.PlatformCallsPerSecond = float64(counters.Calls) / time.Since(start).Seconds()
	f.PlatformMostPerSecond = float64(counters.HighestCallsPerSecond)
	return err
}
