package ffsoak

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"fireflyfall.dev/fireflyfall/internal/ffdeployment"
	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffrelay"
	"fireflyfall.dev/fireflyfall/internal/ffstand"
)

const (
	// stopTimeout bounds a planned stop.
	stopTimeout = 45 * time.Second
	// slowFactor multiplies the service times of a slowed target.
	slowFactor = 10
	// platformDelay is added to each request to a slow platform.
	platformDelay = 400 * time.Millisecond
)

// injector injects and ends the faults of a schedule.
type injector struct {
	deployment *ffdeployment.Deployment
	processLog *processLog

	mu       sync.Mutex
	injected []InjectedFault
}

// run injects all faults, each at its time, and returns when all have ended.
func (j *injector) run(ctx context.Context, start time.Time, faults []Fault) error {
	var g errgroup.Group
	for _, f := range faults {
		a := &injection{injector: j, fault: InjectedFault{Fault: f}}
		g.Go(func() error { return a.run(ctx, start) })
	}
	return g.Wait()
}

// injection is the injection of one fault.
type injection struct {
	injector *injector
	fault    InjectedFault
	stopped  chan error
}

func (a *injection) run(ctx context.Context, start time.Time) error {
	if !sleepUntil(ctx, start.Add(time.Duration(a.fault.AtMillis)*time.Millisecond)) {
		return nil
	}
	if a.fault.Kind.ofProcess() {
		defer a.injector.processLog.reserve(a.fault.VMs)()
	}
	until := start.Add(time.Duration(a.fault.UntilMillis) * time.Millisecond)
	if !time.Now().Before(until) {
		return nil
	}
	a.fault.Began = time.Now()
	if err := a.begin(ctx); err != nil {
		return &Error{Op: "begin " + a.fault.String(), Kind: ErrorFault, Err: err}
	}
	sleepUntil(ctx, until)
	if err := a.heal(ctx); err != nil {
		return &Error{Op: "heal " + a.fault.String(), Kind: ErrorFault, Err: err}
	}
	a.fault.Ended = time.Now()
	a.injector.mu.Lock()
	defer a.injector.mu.Unlock()
	a.injector.injected = append(a.injector.injected, a.fault)
	return nil
}

func (a *injection) begin(ctx context.Context) error {
	switch a.fault.Kind {
	case FaultPlannedStop:
		return a.stop(ctx)
	case FaultKillOne, FaultKillHerd, FaultKillDataCentre:
		return a.each(func(n *ffdeployment.Node) error { return a.injector.processLog.kill(n) })
	case FaultFreeze:
		return a.each(func(n *ffdeployment.Node) error { return n.Daemon.Freeze() })
	case FaultListedLeaving:
		return a.injector.deployment.Platform.SetVMState(ctx, a.fault.VMs[0], ffmember.StateLeaving)
	case FaultTargetSlow:
		return a.each(func(n *ffdeployment.Node) error {
			return n.Target.SetState(ctx, ffstand.TargetState{SlowFactor: slowFactor})
		})
	case FaultTargetCrash:
		return a.each(func(n *ffdeployment.Node) error { return n.TargetProcess.Kill() })
	default:
		return a.setFault(ctx, true)
	}
}

func (a *injection) heal(ctx context.Context) error {
	switch a.fault.Kind {
	case FaultPlannedStop:
		return a.replace(ctx)
	case FaultKillOne, FaultKillHerd, FaultKillDataCentre:
		return a.each(func(n *ffdeployment.Node) error { return a.injector.processLog.start(ctx, n) })
	case FaultFreeze:
		return a.each(func(n *ffdeployment.Node) error { return n.Daemon.Resume() })
	case FaultListedLeaving:
		return a.injector.deployment.Platform.SetVMState(ctx, a.fault.VMs[0], ffmember.StateLive)
	case FaultTargetSlow:
		return a.each(func(n *ffdeployment.Node) error { return n.Target.SetState(ctx, ffstand.TargetState{}) })
	case FaultTargetCrash:
		return a.each(func(n *ffdeployment.Node) error { return n.StartTarget(ctx) })
	default:
		return a.setFault(ctx, false)
	}
}

// each calls apply concurrently for every VM of the fault.
func (a *injection) each(apply func(*ffdeployment.Node) error) error {
	var g errgroup.Group
	for _, n := range a.injector.deployment.Nodes {
		for _, vm := range a.fault.VMs {
			if n.VM.Name == vm {
				g.Go(func() error { return apply(n) })
			}
		}
	}
	return g.Wait()
}

// stop starts a planned stop of a daemon and sets its VM to leaving on the
// platform, whose list shows the change after vmLag.
func (a *injection) stop(ctx context.Context) error {
	a.stopped = make(chan error, 1)
	return a.each(func(n *ffdeployment.Node) error {
		go a.runStop(ctx, n)
		return a.injector.deployment.Platform.SetVMState(ctx, n.VM.Name, ffmember.StateLeaving)
	})
}

func (a *injection) runStop(ctx context.Context, n *ffdeployment.Node) {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	err := n.Daemon.Stop(ctx)
	a.fault.Stopped = time.Now()
	a.injector.processLog.ended(n.VM.Name, a.fault.Stopped)
	a.stopped <- err
}

// replace starts the daemon of a planned stop again, as a new VM of the same name.
func (a *injection) replace(ctx context.Context) error {
	if err := <-a.stopped; err != nil {
		a.fault.Failure = err.Error()
	}
	return a.each(func(n *ffdeployment.Node) error {
		if err := a.injector.deployment.Platform.SetVMState(ctx, n.VM.Name, ffmember.StateLive); err != nil {
			return err
		}
		return a.injector.processLog.start(ctx, n)
	})
}

// setFault sets or clears a fault of the platform or of relays.
func (a *injection) setFault(ctx context.Context, on bool) error {
	d := a.injector.deployment
	switch a.fault.Kind {
	case FaultCut:
		return d.Partition(a.fault.From, fault(on, ffrelay.FaultCut, 0))
	case FaultCutOneWay:
		return d.SetLinkFault(a.fault.From, a.fault.To, fault(on, ffrelay.FaultCut, 0))
	case FaultSilentOneWay:
		return d.SetLinkFault(a.fault.From, a.fault.To, fault(on, ffrelay.FaultSilent, ffrelay.DirectionUpstream))
	case FaultPlatformCut:
		return d.PlatformRelay(a.fault.From).SetFault(fault(on, ffrelay.FaultCut, 0))
	case FaultSilentTarget:
		return a.each(func(n *ffdeployment.Node) error { return n.TargetRelay.SetFault(fault(on, ffrelay.FaultSilentOpen, 0)) })
	case FaultSilentForward:
		return a.eachLink(func(n *ffdeployment.Node) *ffrelay.Split { return n.ForwardRelay }, fault(on, ffrelay.FaultSilentOpen, 0))
	case FaultHeldForward:
		return a.eachLink(func(n *ffdeployment.Node) *ffrelay.Split { return n.ForwardRelay }, fault(on, ffrelay.FaultHold, ffrelay.DirectionDownstream))
	case FaultSilentPeer:
		return a.eachLink(func(n *ffdeployment.Node) *ffrelay.Split { return n.PeerRelay }, fault(on, ffrelay.FaultSilentOpen, 0))
	default:
		return d.Platform.SetFault(ctx, a.platformFault(on))
	}
}

func fault(on bool, kind ffrelay.FaultKind, direction ffrelay.Direction) ffrelay.Fault {
	if !on {
		return ffrelay.Fault{}
	}
	return ffrelay.Fault{Kind: kind, Direction: direction}
}

// eachLink sets a fault of the connections from every data centre to that of the fault.
func (a *injection) eachLink(of func(*ffdeployment.Node) *ffrelay.Split, f ffrelay.Fault) error {
	d := a.injector.deployment
	for _, from := range d.DataCentres() {
		source := d.In(from)[0].SourceAddress()
		for _, n := range d.In(a.fault.From) {
			if err := of(n).ForSource(source).SetFault(f); err != nil {
				return err
			}
		}
	}
	return nil
}

func (a *injection) platformFault(on bool) ffstand.Fault {
	if !on {
		return ffstand.Fault{}
	}
	switch a.fault.Kind {
	case FaultPlatformStale:
		return ffstand.Fault{Kind: ffstand.FaultStale, PublicationsBack: a.fault.Back}
	case FaultPlatformFlapping:
		return ffstand.Fault{Kind: ffstand.FaultFlapping, PublicationsBack: a.fault.Back}
	case FaultPlatformRefusing:
		return ffstand.Fault{Kind: ffstand.FaultRefusing}
	case FaultPlatformSlow:
		return ffstand.Fault{Kind: ffstand.FaultSlow, DelayMillis: platformDelay.Milliseconds()}
	case FaultPlatformCorrupt:
		return ffstand.Fault{Kind: ffstand.FaultCorrupt, Key: "manifest"}
	default:
		return ffstand.Fault{Kind: ffstand.FaultOutage}
	}
}
