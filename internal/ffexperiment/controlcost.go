package ffexperiment

import (
	"context"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffdeployment"
)

const (
	// costCoreLimit is in percent of a core and costMemoryLimit in MB.
	costCoreLimit   = 1.5
	costMemoryLimit = 64
	// costChangeRate is the rate of new versions in the cases with changes, per second.
	costChangeRate = 1
)

// costCase is a combination of fleet size, configuration size and rate of changes.
type costCase struct {
	Daemons          int     `json:"daemons"`
	Services         int     `json:"services"`
	Contracts        int     `json:"contracts"`
	ChangesPerSecond float64 `json:"changesPerSecond"`
}

// costCases starts with the reference case. The others differ from it in one
// dimension, except the last, which differs in contracts and changes.
var costCases = []costCase{
	{Daemons: 60, Services: 20, Contracts: 100},
	{Daemons: 120, Services: 20, Contracts: 100},
	{Daemons: 180, Services: 20, Contracts: 100},
	{Daemons: 60, Services: 290, Contracts: 100},
	{Daemons: 60, Services: 20, Contracts: 1000},
	{Daemons: 60, Services: 20, Contracts: 100, ChangesPerSecond: costChangeRate},
	{Daemons: 60, Services: 20, Contracts: 1000, ChangesPerSecond: costChangeRate},
}

// controlCost measures the resource usage of a daemon for control, depending on the
// size of the fleet, the size of the configuration and the rate of changes.
type controlCost struct{}

// costFigures is the cost measured in one case.
type costFigures struct {
	costCase
	cost
}

// slopes holds what one more daemon, service, contract or change a second adds to the
// mean cost of a daemon.
type slopes struct {
	PerDaemon   cost `json:"perDaemon"`
	PerService  cost `json:"perService"`
	PerContract cost `json:"perContract"`
	PerChange   cost `json:"perChangePerSecond"`
}

// costProduct holds the figures of all cases and the slopes between them.
type costProduct struct {
	Cases  []costFigures `json:"cases"`
	Slopes slopes        `json:"slopes"`
}

// pollCost is the load of polling on the platform.
type pollCost struct {
	PlatformCallsPerDaemonSecond float64 `json:"platformCallsPerDaemonSecond"`
}

// Run measures each case.
func (e controlCost) Run(ctx context.Context, s Setup) (Report, error) {
	var p costProduct
	met := true
	for _, c := range costCases {
		f, err := e.measure(ctx, s, c)
		if err != nil {
			return Report{}, err
		}
		p.Cases = append(p.Cases, f)
		met = met && f.MostMemoryMB <= costMemoryLimit && f.MostBytesPerSecond <= controlBytesLimit && f.CorePercent <= costCoreLimit
	}
	p.Slopes = slopesOf(p.Cases)
	return Report{
		Baseline: pollCost{PlatformCallsPerDaemonSecond: 1 / pollInterval.Seconds()},
		Product:  p,
		Target:   "a daemon spends at most 1.5% of a core, 64 MB and 20000 bytes a second for control",
		Met:      met,
	}, nil
}

func (controlCost) measure(ctx context.Context, s Setup, c costCase) (costFigures, error) {
	m, err := startControl(ctx, s, c.Daemons, platformRate, syntheticConfig{services: c.Services, contracts: c.Contracts})
	if err != nil {
		return costFigures{}, err
	}
	defer m.close()
	before, err := m.usage(ctx)
	if err != nil {
		return costFigures{}, err
	}
	if err := m.publishAtRate(ctx, s.Duration, c.ChangesPerSecond); err != nil {
		return costFigures{}, err
	}
	after, err := m.usage(ctx)
	if err != nil {
		return costFigures{}, err
	}
	return costFigures{costCase: c, cost: costOf(before, after)}, nil
}

// publishAtRate publishes at most rate versions a second for d, each after all daemons
// have applied the previous one. At rate zero it only waits for d.
func (m *controlMesh) publishAtRate(ctx context.Context, d time.Duration, rate float64) error {
	end := time.Now().Add(d)
	if rate == 0 {
		pause(ctx, d)
		return nil
	}
	for time.Now().Before(end) {
		next := time.Now().Add(time.Duration(float64(time.Second) / rate))
		v, err := m.synthetic.publish(ctx, m.deployment, m.directory)
		if err != nil {
			return err
		}
		limited, cancel := context.WithTimeout(ctx, convergeTimeout)
		_, err = ffdeployment.AwaitApplied(limited, m.deployment.Nodes, v)
		cancel()
		if err != nil {
			return err
		}
		pause(ctx, time.Until(next))
	}
	return nil
}

// slopesOf returns the slopes, each from the case that differs from the first only in
// that dimension.
func slopesOf(cases []costFigures) slopes {
	first := cases[0]
	between := func(other costFigures, step float64) cost {
		return cost{
			CorePercent:    (other.CorePercent - first.CorePercent) / step,
			MemoryMB:       (other.MemoryMB - first.MemoryMB) / step,
			BytesPerSecond: (other.BytesPerSecond - first.BytesPerSecond) / step,
		}
	}
	return slopes{
		PerDaemon:   between(cases[2], float64(cases[2].Daemons-first.Daemons)),
		PerService:  between(cases[3], float64(cases[3].Services-first.Services)),
		PerContract: between(cases[4], float64(cases[4].Contracts-first.Contracts)),
		PerChange:   between(cases[5], cases[5].ChangesPerSecond),
	}
}
