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
	// stormRate is the platform's ceiling, in calls a second; much smaller for a
	// daemon than that of the largest fleet would allow a poller.
	stormRate = 200
	// stormOutage is the length of the platform's outage.
	stormOutage = 6 * time.Second
	// stormRestarted is the part of the daemons that restart during the outage.
	stormRestarted = 3
	// stormPoll is the time between two tries of a baseline daemon.
	stormPoll = 10 * time.Millisecond
	// stormTimeout bounds the wait for convergence after the return.
	stormTimeout = 20 * time.Second
)

// reconnectStorm measures the platform's load and the convergence when it comes
// back from an outage during which a herd of daemons restarted.
type reconnectStorm struct{}

// stormFigures are those of one return.
type stormFigures struct {
	// ConvergedMillis is the time from the return until the version that was
	// accepted meanwhile is in force everywhere.
	ConvergedMillis float64 `json:"convergedMillis"`
	// Converged tells that it came to that before the experiment gave up.
	Converged bool `json:"converged"`
	// MostPerSecond is the greatest number of platform calls in one second.
	MostPerSecond float64 `json:"mostPerSecond"`
	// SecondsAboveCeiling is the number of seconds with more calls than the ceiling.
	SecondsAboveCeiling uint64 `json:"secondsAboveCeiling"`
	Refused             uint64 `json:"refused"`
	Ceiling             int    `json:"ceiling"`
}

// awaiter waits until every daemon or poller has a version, and returns when the last got it.
type awaiter func(ctx context.Context, v ffconfig.Version) (time.Time, error)

// Run measures daemons and pollers that try again at once.
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
		if i%stormRestarted == 0 {
			herd = append(herd, n)
		}
	}
	if err := restart(ctx, herd); err != nil {
		return stormFigures{}, err
	}
	return m.comeBack(ctx, func(ctx context.Context, v ffconfig.Version) (time.Time, error) {
		applied, err := ffdeployment.AwaitApplied(ctx, d.Nodes, v)
		return latest(applied), err
	})
}

// polled measures pollers that try again at once.
func (reconnectStorm) polled(ctx context.Context, m *controlMesh) (stormFigures, error) {
	fleet := startPollers(ctx, m.deployment.PlatformAddress(), stormDaemons, stormPoll)
	defer fleet.close()
	if err := m.deployment.Platform.SetFault(ctx, ffstand.Fault{Kind: ffstand.FaultOutage}); err != nil {
		return stormFigures{}, err
	}
	return m.comeBack(ctx, fleet.await)
}

// comeBack publishes a version during an outage, ends the outage, and measures
// what follows.
func (m *controlMesh) comeBack(ctx context.Context, await awaiter) (stormFigures, error) {
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
	f.SecondsAboveCeiling = counters.SecondsAboveCeiling
	f.Refused = counters.Refused
	return f, err
}

func restart(ctx context.Context, nodes []*ffdeployment.Node) error {
	var g errgroup.Group
	g.SetLimit(askParallel)
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

func latest(times []time.Time) time.Time {
	var last time.Time
	for _, at := range times {
		if at.After(last) {
			last = at
		}
	}
	return last
}
