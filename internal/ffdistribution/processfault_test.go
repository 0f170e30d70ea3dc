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

// injection is one fault of a deployment of separate processes. Each phase may be nil.
type injection struct {
	// begin runs before the version is published, during right after it, and end
	// when the fault duration has passed.
	begin, during, end func(ctx context.Context, d *testDeployment) error
}

// Data centres of the deployment.
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
	"platformStale":    platformFault(ffstand.Fault{Kind: ffstand.FaultStale, PublicationsBack: 2}),
	"platformFlapping": platformFault(ffstand.Fault{Kind: ffstand.FaultFlapping, PublicationsBack: 1}),
	"cutPlatform": {
		begin: func(_ context.Context, d *testDeployment) error {
			return d.PlatformRelay(faultyDataCentre).SetFault(cutFault)
		},
		end: func(_ context.Context, d *testDeployment) error {
			return d.PlatformRelay(faultyDataCentre).SetFault(noFault)
		},
	},
	"cutOthers": {
		begin: func(_ context.Context, d *testDeployment) error { return d.Partition(faultyDataCentre, silentFault) },
		end:   func(_ context.Context, d *testDeployment) error { return d.Partition(faultyDataCentre, noFault) },
	},
	"cutBoth": {
		begin: func(_ context.Context, d *testDeployment) error {
			if err := d.PlatformRelay(faultyDataCentre).SetFault(silentFault); err != nil {
				return err
			}
			return d.Partition(faultyDataCentre, cutFault)
		},
		end: func(_ context.Context, d *testDeployment) error {
			if err := d.PlatformRelay(faultyDataCentre).SetFault(noFault); err != nil {
				return err
			}
			return d.Partition(faultyDataCentre, noFault)
		},
	},
	"cutOneWay": {
		begin: func(_ context.Context, d *testDeployment) error { return d.setOutboundFault(silentFault) },
		end:   func(_ context.Context, d *testDeployment) error { return d.setOutboundFault(noFault) },
	},
	"silentConnections": {
		begin: func(_ context.Context, d *testDeployment) error { return d.setPeerFault(openFault) },
		end:   func(_ context.Context, d *testDeployment) error { return d.setPeerFault(noFault) },
	},
	"silentPlatform": {
		begin: func(_ context.Context, d *testDeployment) error { return d.setPlatformLinkFault(openFault) },
		end:   func(_ context.Context, d *testDeployment) error { return d.setPlatformLinkFault(noFault) },
	},
	"readersKilled": {
		during: func(_ context.Context, d *testDeployment) error { return forEach(d.readers(), kill) },
		end:    func(ctx context.Context, d *testDeployment) error { return d.restart(ctx, d.readers()) },
	},
	"restartDataCentre": {
		during: func(ctx context.Context, d *testDeployment) error {
			if err := forEach(d.In(restartedDataCentre), kill); err != nil {
				return err
			}
			return d.restart(ctx, d.In(restartedDataCentre))
		},
	},
	"frozen": {
		begin: func(_ context.Context, d *testDeployment) error {
			return d.In(faultyDataCentre)[0].Daemon.Freeze()
		},
		end: func(_ context.Context, d *testDeployment) error { return d.In(faultyDataCentre)[0].Daemon.Resume() },
	},
	"race": {
		during: func(ctx context.Context, d *testDeployment) error { return d.publishConflicting(ctx) },
	},
	"damagedSource": {
		begin: func(ctx context.Context, d *testDeployment) error {
			key := ffplatform.PieceKey(d.pending.amended)
			return d.Platform.SetFault(ctx, ffstand.Fault{Kind: ffstand.FaultCorrupt, Key: key})
		},
		end: func(ctx context.Context, d *testDeployment) error {
			d.republish = true
			return d.Platform.SetFault(ctx, ffstand.Fault{})
		},
	},
	"damagedOnTheWay": {
		begin: func(_ context.Context, d *testDeployment) error {
			return d.setPeerFault(ffrelay.Fault{Kind: ffrelay.FaultCorrupt, Direction: ffrelay.DirectionDownstream, AfterBytes: 400})
		},
		end: func(_ context.Context, d *testDeployment) error { return d.setPeerFault(noFault) },
	},
}

func platformFault(f ffstand.Fault) injection {
	return injection{
		begin: func(ctx context.Context, d *testDeployment) error { return d.Platform.SetFault(ctx, f) },
		end:   func(ctx context.Context, d *testDeployment) error { return d.Platform.SetFault(ctx, ffstand.Fault{}) },
	}
}

// setOutboundFault sets the fault on the connections that the faulty data centre
// opens to the others.
func (d *testDeployment) setOutboundFault(f ffrelay.Fault) error {
	if err := d.SetLinkFault(faultyDataCentre, restartedDataCentre, f); err != nil {
		return err
	}
	return d.SetLinkFault(faultyDataCentre, thirdDataCentre, f)
}

// setPeerFault sets the fault on the connections between all data centres and
// within each.
func (d *testDeployment) setPeerFault(f ffrelay.Fault) error {
	for _, from := range d.DataCentres() {
		for _, to := range d.DataCentres() {
			if err := d.SetLinkFault(from, to, f); err != nil {
				return err
			}
		}
	}
	return nil
}

// setPlatformLinkFault sets the fault on the connections from every data centre to
// the platform.
func (d *testDeployment) setPlatformLinkFault(f ffrelay.Fault) error {
	for _, dataCentre := range d.DataCentres() {
		if err := d.PlatformRelay(dataCentre).SetFault(f); err != nil {
			return err
		}
	}
	return nil
}

// readers returns the nodes that watch the platform for the faulty data centre.
func (d *testDeployment) readers() []*ffdeployment.Node {
	nodes := d.In(faultyDataCentre)
	vms := make([]ffmember.VM, len(nodes))
	for i, n := range nodes {
		vms[i] = n.VM
	}
	budget := &ffdistribution.Budget{FleetSize: len(d.Nodes)}
	var readers []*ffdeployment.Node
	for _, vm := range ffplacement.FavouredReaders(vms, faultyDataCentre, ffplacement.ReaderCount, budget.FavouredFraction()) {
		for _, n := range nodes {
			if n.VM.Name == vm.Name {
				readers = append(readers, n)
			}
		}
	}
	return readers
}

func kill(n *ffdeployment.Node) error { return n.Daemon.Kill() }

func forEach(nodes []*ffdeployment.Node, do func(*ffdeployment.Node) error) error {
	for _, n := range nodes {
		if err := do(n); err != nil {
			return err
		}
	}
	return nil
}

// restart starts killed daemons.
func (d *testDeployment) restart(ctx context.Context, nodes []*ffdeployment.Node) error {
	return forEach(nodes, func(n *ffdeployment.Node) error { return n.StartDaemon(ctx) })
}

// newest returns the newer of two versions.
func newest(a, b ffconfig.Version) ffconfig.Version {
	if a.NewerThan(b) {
		return a
	}
	return b
}
