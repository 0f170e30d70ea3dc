package ffdistribution_test

import (
	"context"

	"fireflyfall.dev/fireflyfall/internal/ffdeployment"
	"fireflyfall.dev/fireflyfall/internal/ffdistribution"
	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffplacement"
	"fireflyfall.dev/fireflyfall/internal/ffplatform"
	"fireflyfall.dev/fireflyfall/internal/ffrelay"
	"fireflyfall.dev/fireflyfall/internal/ffstand"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// injection is one fault of a deployment of real processes. Each part may be nil.
type injection struct {
	// begin runs before the version is published, during right after it, and end
	// when the version has had its time.
	begin, during, end func(ctx context.Context, d *deployed) error
}

// Data centres that the faults concern.
const (
	faultyDataCentre    = "palermo"
	restartedDataCentre = "catania"
	thirdDataCentre     = "vittoria"
)

var (
	cutFault    = ffrelay.Fault{Kind: ffrelay.FaultCut}
	silentFault = ffrelay.Fault{Kind: ffrelay.FaultSilent}
	openFault   = ffrelay.Fault{Kind: ffrelay.FaultSilentOpen}
	noFault     = ffrelay.Fault{}
)

var injections = map[string]injection{
	"platformDown":     platformFault(ffstand.Fault{Kind: ffstand.FaultOutage}),
	"platformSlow":     platformFault(ffstand.Fault{Kind: ffstand.FaultSlow, DelayMillis: 700}),
	"platformStale":    platformFault(ffstand.Fault{Kind: ffstand.FaultStale, Back: 2}),
	"platformFlapping": platformFault(ffstand.Fault{Kind: ffstand.FaultFlapping, Back: 1}),
	"cutPlatform": {
		begin: func(_ context.Context, d *deployed) error {
			return d.PlatformRelay(faultyDataCentre).SetFault(cutFault)
		},
		end: func(_ context.Context, d *deployed) error {
			return d.PlatformRelay(faultyDataCentre).SetFault(noFault)
		},
	},
	"cutOthers": {
		begin: func(_ context.Context, d *deployed) error { return d.Partition(faultyDataCentre, silentFault) },
		end:   func(_ context.Context, d *deployed) error { return d.Partition(faultyDataCentre, noFault) },
	},
	"cutBoth": {
		begin: func(_ context.Context, d *deployed) error {
			if err := d.PlatformRelay(faultyDataCentre).SetFault(silentFault); err != nil {
				return err
			}
			return d.Partition(faultyDataCentre, cutFault)
		},
		end: func(_ context.Context, d *deployed) error {
			if err := d.PlatformRelay(faultyDataCentre).SetFault(noFault); err != nil {
				return err
			}
			return d.Partition(faultyDataCentre, noFault)
		},
	},
	"cutOneWay": {
		begin: func(_ context.Context, d *deployed) error { return d.oneWay(silentFault) },
		end:   func(_ context.Context, d *deployed) error { return d.oneWay(noFault) },
	},
	"silentConnections": {
		begin: func(_ context.Context, d *deployed) error { return d.everyLink(openFault) },
		end:   func(_ context.Context, d *deployed) error { return d.everyLink(noFault) },
	},
	"silentPlatform": {
		begin: func(_ context.Context, d *deployed) error { return d.everyPlatformLink(openFault) },
		end:   func(_ context.Context, d *deployed) error { return d.everyPlatformLink(noFault) },
	},
	"readersKilled": {
		during: func(_ context.Context, d *deployed) error { return each(d.readers(), kill) },
		end:    func(ctx context.Context, d *deployed) error { return d.startAgain(ctx, d.readers()) },
	},
	"restartDataCentre": {
		during: func(ctx context.Context, d *deployed) error {
			if err := each(d.In(restartedDataCentre), kill); err != nil {
				return err
			}
			return d.startAgain(ctx, d.In(restartedDataCentre))
		},
	},
	"frozen": {
		begin: func(_ context.Context, d *deployed) error {
			return d.In(faultyDataCentre)[0].Daemon.Freeze()
		},
		end: func(_ context.Context, d *deployed) error { return d.In(faultyDataCentre)[0].Daemon.Wake() },
	},
	"race": {
		during: func(ctx context.Context, d *deployed) error { return d.publishRival(ctx) },
	},
	"damagedSource": {
		begin: func(ctx context.Context, d *deployed) error {
			key := ffplatform.PieceKey(d.pending.amended)
			return d.Platform.SetFault(ctx, ffstand.Fault{Kind: ffstand.FaultCorrupt, Key: key})
		},
		end: func(ctx context.Context, d *deployed) error {
			d.republish = true
			return d.Platform.SetFault(ctx, ffstand.Fault{})
		},
	},
	"damagedOnTheWay": {
		begin: func(_ context.Context, d *deployed) error {
			return d.everyLink(ffrelay.Fault{Kind: ffrelay.FaultCorrupt, Direction: ffrelay.DirectionClient, AfterBytes: 400})
		},
		end: func(_ context.Context, d *deployed) error { return d.everyLink(noFault) },
	},
}

func platformFault(f ffstand.Fault) injection {
	return injection{
		begin: func(ctx context.Context, d *deployed) error { return d.Platform.SetFault(ctx, f) },
		end:   func(ctx context.Context, d *deployed) error { return d.Platform.SetFault(ctx, ffstand.Fault{}) },
	}
}

// oneWay sets the fault on what the faulty data centre opens to the others.
func (d *deployed) oneWay(f ffrelay.Fault) error {
	if err := d.SetLink(faultyDataCentre, restartedDataCentre, f); err != nil {
		return err
	}
	return d.SetLink(faultyDataCentre, thirdDataCentre, f)
}

// everyLink sets the fault on the connections between any two daemons.
func (d *deployed) everyLink(f ffrelay.Fault) error {
	for _, from := range d.DataCentres() {
		for _, to := range d.DataCentres() {
			if err := d.SetLink(from, to, f); err != nil {
				return err
			}
		}
	}
	return nil
}

// everyPlatformLink sets the fault between every data centre and the platform.
func (d *deployed) everyPlatformLink(f ffrelay.Fault) error {
	for _, dataCentre := range d.DataCentres() {
		if err := d.PlatformRelay(dataCentre).SetFault(f); err != nil {
			return err
		}
	}
	return nil
}

// readers returns the nodes that watch the platform for the faulty data centre.
func (d *deployed) readers() []*ffdeployment.Node {
	nodes := d.In(faultyDataCentre)
	vms := make([]ffmember.VM, len(nodes))
	for i, n := range nodes {
		vms[i] = n.VM
	}
	budget := &ffdistribution.Budget{FleetSize: len(d.Nodes)}
	var readers []*ffdeployment.Node
	for _, vm := range ffplacement.FavouredReaders(vms, faultyDataCentre, ffplacement.ReaderCount, budget.Fraction()) {
		for _, n := range nodes {
			if n.VM.Name == vm.Name {
				readers = append(readers, n)
			}
		}
	}
	return readers
}

func kill(n *ffdeployment.Node) error { return n.Daemon.Kill() }

func each(nodes []*ffdeployment.Node, do func(*ffdeployment.Node) error) error {
	for _, n := range nodes {
		if err := do(n); err != nil {
			return err
		}
	}
	return nil
}

// startAgain starts killed daemons at once.
func (d *deployed) startAgain(ctx context.Context, nodes []*ffdeployment.Node) error {
	return each(nodes, func(n *ffdeployment.Node) error { return n.StartDaemon(ctx) })
}

// greatest returns the later of two versions.
func greatest(a, b ffconfig.Version) ffconfig.Version {
	if a.NewerThan(b) {
		return a
	}
	return b
}
