package ffexperiment

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"fireflyfall.dev/fireflyfall/internal/ffdeployment"
	"fireflyfall.dev/fireflyfall/internal/ffstand"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

const (
	stormDaemons = 90
	// stormRate is the platform's rate limit, in calls a second. Per daemon it is much
	// lower than platformRate per poller of the largest fleet.
	stormRate = 200
	// stormOutage is the length of the platform's outage.
	stormOutage = 6 * time.Second
	// stormRestartEvery selects the daemons that restart during the outage: one in three.
	stormRestartEvery = 3
	// stormPoll is the pause between two attempts of a poller.
	stormPoll = 10 * time.Millisecond
	// stormTimeout limits the wait for convergence after the outage.
	stormTimeout = 20 * time.Second
)

// reconnectStorm measures the load on the platform and the time to convergence after
// an outage of the platform during which a third of the daemons restarted.
type reconnectStorm struct{}

// stormFigures are the figures measured after an outage.
type stormFigures struct {
	// ConvergedMillis is the time from the end of the outage until the version
	// published during the outage is applied everywhere, or stormTimeout if that did
	// not happen.
	ConvergedMillis float64 `json:"convergedMillis"`
	// Converged reports whether that happened within stormTimeout.
	Converged bool `json:"converged"`
	// MostPerSecond is the maximum number of platform calls in one second.
	MostPerSecond float64 `json:"mostPerSecond"`
	// SecondsAboveCeiling is the number of seconds with more calls than the limit.
	SecondsAboveCeiling uint64 `json:"secondsAboveCeiling"`
	Refused             uint64 `json:"refused"`
	Ceiling             int    `json:"ceiling"`
}

// awaitFunc waits until every daemon or poller has a version and returns the time at
// which the last one received it.
type awaitFunc func(ctx context.Context, v ffconfig.Version) (time.Time, error)

// Run measures the daemons, and pollers that retry after stormPoll as the baseline.
func (e reconnectStorm) Run(ctx context.Context, s Setup) (Report, error) {
	m, err := startControl(ctx, s, stormDaemons, stormRate, convergenceConfig)
	if err != nil {
		return Report{}, err
	}
	defer m.close()
	product, err := e.distributed(ctx, m)
	if err != nil {
		return Report{}, err
	}
	for _, n := range m.deployment.Nodes {
		if err := n.Daemon.Kill(); err != nil {
			return Report{}, err
		}
	}
	baseline, err := e.polled(ctx, m)
	return Report{
		Baseline: baseline,
		Product:  product,
		Target:   "platform ceiling never exceeded; in force everywhere within 5 s of its return",
		Met:      product.SecondsAboveCeiling == 0 && product.Converged && product.ConvergedMillis <= millis(convergenceLimit),
	}, err
}

// distributed measures the daemons, a third of which restart during the outage.
func (reconnectStorm) distributed(ctx context.Context, m *controlMesh) (stormFigures, error) {
	d := m.deployment
	if err := d.Platform.SetFault(ctx, ffstand.Fault{Kind: ffstand.FaultOutage}); err != nil {
		return stormFigures{}, err
	}
	var herd []*ffdeployment.Node
	for i, n := range d.Nodes {
		if i%stormRestartEvery == 0 {
			herd = append(herd, n)
		}
	}
	if err := restart(ctx, herd); err != nil {
		return stormFigures{}, err
	}
	return m.measureRecovery(ctx, func(ctx context.Context, v ffconfig.Version) (time.Time, error) {
		applied, err := ffdeployment.AwaitApplied(ctx, d.Nodes, v)
		return latest(applied), err
	})
}

// polled measures pollers that retry after stormPoll.
func (reconnectStorm) polled(ctx context.Context, m *controlMesh) (stormFigures, error) {
	fleet := startPollers(ctx, m.deployment.PlatformAddress(), stormDaemons, stormPoll)
	defer fleet.close()
	if err := m.deployment.Platform.SetFault(ctx, ffstand.Fault{Kind: ffstand.FaultOutage}); err != nil {
		return stormFigures{}, err
	}
	return m.measureRecovery(ctx, fleet.await)
}

// measureRecovery publishes a version during an outage, ends the outage, and measures
// the convergence and the load on the platform.
func (m *controlMesh) measureRecovery(ctx context.Context, await awaitFunc) (stormFigures, error) {
	f := stormFigures{Ceiling: stormRate}
	platform := m.deployment.Platform
	v, err := m.synthetic.publish(ctx, m.deployment, m.directory)
	if err != nil {
		return f, err
	}
	pause(ctx, stormOutage)
	if err := platform.ResetCounters(ctx); err != nil {
		return f, err
	}
	returned := time.Now()
	if err := platform.SetFault(ctx, ffstand.Fault{}); err != nil {
		return f, err
	}
	limited, cancel := context.WithTimeout(ctx, stormTimeout)
	defer cancel()
	last, err := await(limited, v)
	f.Converged = err == nil
	f.ConvergedMillis = millis(stormTimeout)
	if f.Converged {
		f.ConvergedMillis = millis(last.Sub(returned))
	}
	counters, err := platform.Counters(ctx)
	f.MostPerSecond = float64(counters.HighestCallsPerSecond)
	f.SecondsAboveCeiling = counters.SecondsAboveLimit
	f.Refused = counters.Refused
	return f, err
}

func restart(ctx context.Context, nodes []*ffdeployment.Node) error {
	var g errgroup.Group
	g.SetLimit(maxParallel)
	for _, n := range nodes {
		g.Go(func() error {
			if err := n.Daemon.Kill(); err != nil {
				return err
			}
			return n.StartDaemon(ctx)
		})
	}
	return g.Wait()
}

// latest returns the latest of the times, or the zero time if there are none.
func latest(times []time.Time) time.Time {
	var last time.Time
	for _, at := range times {
		if at.After(last) {
			last = at
		}
	}
	return last
}
