package ffproof_test

import (
	"context"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffdeployment"
	"fireflyfall.dev/fireflyfall/internal/ffprocess"
	"fireflyfall.dev/fireflyfall/internal/ffrelay"
)

// faults are the kinds of link faults by name.
var faults = map[string]ffrelay.FaultKind{}

func init() {
	for k := ffrelay.FaultNone; k <= ffrelay.FaultTruncate; k++ {
		faults[k.String()] = k
	}
}

// parseFault parses KIND [DIRECTION]; the direction is both by default.
func parseFault(args []string) (ffrelay.Fault, error) {
	kind, ok := faults[args[0]]
	if !ok {
		return ffrelay.Fault{}, merry.Errorf("unknown fault %q", args[0])
	}
	f := ffrelay.Fault{Kind: kind}
	if len(args) > 1 && args[1] == ffrelay.DirectionUpstream.String() {
		f.Direction = ffrelay.DirectionUpstream
	}
	if len(args) > 1 && args[1] == ffrelay.DirectionDownstream.String() {
		f.Direction = ffrelay.DirectionDownstream
	}
	return f, nil
}

// setLinkFault sets the fault of the connections that one data centre opens to
// another: FROM TO KIND [DIRECTION].
func (s *script) setLinkFault(args []string, relay func(*ffdeployment.Node) *ffrelay.Split) error {
	f, err := parseFault(args[2:])
	if err != nil {
		return err
	}
	source := s.deployment.In(args[0])[0].SourceAddress()
	for _, n := range s.deployment.In(args[1]) {
		if err := relay(n).ForSource(source).SetFault(f); err != nil {
			return err
		}
	}
	return nil
}

func (s *script) forward(args []string) error {
	return s.setLinkFault(args, func(n *ffdeployment.Node) *ffrelay.Split { return n.ForwardRelay })
}

func (s *script) peers(args []string) error {
	return s.setLinkFault(args, func(n *ffdeployment.Node) *ffrelay.Split { return n.PeerRelay })
}

func (s *script) platform(args []string) error {
	f, err := parseFault(args[1:])
	if err != nil {
		return err
	}
	return s.deployment.PlatformRelay(args[0]).SetFault(f)
}

func (s *script) targetLink(args []string) error {
	n, err := s.node(args[0])
	if err != nil {
		return err
	}
	f, err := parseFault(args[1:])
	if err != nil {
		return err
	}
	return n.TargetRelay.SetFault(f)
}

// forEach calls do for the daemon or the target of each VM.
func (s *script) forEach(args []string, do func(*ffprocess.Process) error) error {
	nodes, err := s.nodes(args[1:])
	if err != nil {
		return err
	}
	for _, n := range nodes {
		p := n.Daemon
		if args[0] == "target" {
			p = n.TargetProcess
		}
		if err := do(p); err != nil {
			return err
		}
	}
	return nil
}

func (s *script) freeze(args []string) error { return s.forEach(args, (*ffprocess.Process).Freeze) }

func (s *script) wake(args []string) error { return s.forEach(args, (*ffprocess.Process).Resume) }

func (s *script) kill(args []string) error { return s.forEach(args, (*ffprocess.Process).Kill) }

func (s *script) restart(args []string) error {
	nodes, err := s.nodes(args[1:])
	if err != nil {
		return err
	}
	ctx, cancel := s.stepContext()
	defer cancel()
	for _, n := range nodes {
		start := n.StartDaemon
		if args[0] == "target" {
			start = n.StartTarget
		}
		if err := start(ctx); err != nil {
			return err
		}
	}
	return nil
}

// stop sends SIGTERM to a daemon and does not wait for its exit.
func (s *script) stop(args []string) error {
	n, err := s.node(args[0])
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // Stop sends SIGTERM before it checks the context.
	_ = n.Daemon.Stop(ctx)
	return nil
}

func (s *script) stopped(args []string) error {
	n, err := s.node(args[0])
	if err != nil {
		return err
	}
	ctx, cancel := s.stepContext()
	defer cancel()
	select {
	case <-n.Daemon.Exited():
		return n.Daemon.Wait()
	case <-ctx.Done():
		return merry.Errorf("%s is still running", args[0])
	}
}
