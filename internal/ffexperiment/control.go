package ffexperiment

import (
	"context"
	"fmt"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"fireflyfall.dev/fireflyfall/internal/ffdeployment"
	"fireflyfall.dev/fireflyfall/internal/ffmember"
)

const (
	// convergeTimeout limits the wait until all daemons have applied a version.
	convergeTimeout = 60 * time.Second
	// dataCentreCount is the number of data centres in experiments on control traffic.
	dataCentreCount = 6
	// settleTime is the wait before a measurement, after the first version is applied
	// or the pollers are started.
	settleTime = 3 * time.Second
	// maxParallel limits how many daemons are queried or restarted concurrently.
	maxParallel = 16
)

// controlMesh is a running deployment without targets.
type controlMesh struct {
	deployment *ffdeployment.Deployment
	synthetic  syntheticConfig
	directory  string
}

// startControl starts daemons in six data centres and waits until all of them have
// applied a first version. The rate is the platform's limit, in calls a second.
func startControl(ctx context.Context, s Setup, daemons int, rate float64, config syntheticConfig) (*controlMesh, error) {
	plan := ffdeployment.Plan{Fleet: controlFleet(daemons), PlatformRate: rate, WithoutTargets: true}
	d, err := ffdeployment.Start(ctx, plan, s.Directory)
	if err != nil {
		return nil, err
	}
	m := &controlMesh{deployment: d, synthetic: config, directory: s.Directory}
	if _, err := m.converge(ctx); err != nil {
		d.Close()
		return nil, err
	}
	pause(ctx, settleTime)
	return m, nil
}

func controlFleet(daemons int) []ffmember.VM {
	vms := make([]ffmember.VM, daemons)
	for i := range vms {
		vms[i] = ffmember.VM{
			Name:       fmt.Sprintf("vm-%d", i),
			DataCentre: fmt.Sprintf("dc-%d", i%dataCentreCount),
			Service:    "service-0",
		}
	}
	return vms
}

// converge publishes a version and returns the times until the daemons applied it, in
// ascending order.
func (m *controlMesh) converge(ctx context.Context) ([]time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, convergeTimeout)
	defer cancel()
	start := time.Now()
	v, err := m.synthetic.publish(ctx, m.deployment, m.directory)
	if err != nil {
		return nil, err
	}
	applied, err := ffdeployment.AwaitApplied(ctx, m.deployment.Nodes, v)
	if err != nil {
		return nil, err
	}
	took := make([]time.Duration, len(applied))
	for i, at := range applied {
		took[i] = at.Sub(start)
	}
	slices.Sort(took)
	return took, nil
}

// usage returns the resource usage of each daemon since its start.
func (m *controlMesh) usage(ctx context.Context) ([]ffdeployment.Usage, error) {
	all := make([]ffdeployment.Usage, len(m.deployment.Nodes))
	var g errgroup.Group
	g.SetLimit(maxParallel)
	for i, n := range m.deployment.Nodes {
		g.Go(func() error {
			u, err := n.Usage(ctx)
			all[i] = u
			return err
		})
	}
	return all, g.Wait()
}

func (m *controlMesh) close() { m.deployment.Close() }

// cost is the resource usage of a daemon for control: the mean over all daemons and
// the maximum of any daemon. CorePercent is the CPU usage in percent of one core.
type cost struct {
	CorePercent        float64 `json:"corePercent"`
	MostCorePercent    float64 `json:"mostCorePercent"`
	MemoryMB           float64 `json:"memoryMB"`
	MostMemoryMB       float64 `json:"mostMemoryMB"`
	BytesPerSecond     float64 `json:"bytesPerSecond"`
	MostBytesPerSecond float64 `json:"mostBytesPerSecond"`
}

const bytesPerMB = 1 << 20

// costOf returns the cost between two readings of the usage of the same daemons.
func costOf(before, after []ffdeployment.Usage) cost {
	var c cost
	n := float64(len(after))
	for i, b := range after {
		a := before[i]
		elapsed := b.At.Sub(a.At).Seconds()
		core := 100 * (b.CPUSeconds - a.CPUSeconds) / elapsed
		bytes := (b.PeerBytes - a.PeerBytes) / elapsed
		memory := b.MemoryBytes / bytesPerMB
		c.CorePercent += core / n
		c.MostCorePercent = max(c.MostCorePercent, core)
		c.BytesPerSecond += bytes / n
		c.MostBytesPerSecond = max(c.MostBytesPerSecond, bytes)
		c.MemoryMB += memory / n
		c.MostMemoryMB = max(c.MostMemoryMB, memory)
	}
	return c
}

// pause waits for d or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
