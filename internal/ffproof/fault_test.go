package ffproof_test

import (
	"context"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffdeployment"
	"fireflyfall.dev/fireflyfall/internal/ffprocess"
	"fireflyfall.dev/fireflyfall/internal/ffrelay"
)

// faults are the faults of links by their names.
var faults = map[string]ffrelay.FaultKind{}

func init() {
	for k := ffrelay.FaultNone; k <= ffrelay.FaultTruncate; k++ {
		faults[k.String()] = k
	}
}

func faultOf(args []string) (ffrelay.Fault, error) {
	kind, ok := faults[args[0]]
	if !ok {
		return ffrelay.Fault{}, merry.Errorf("no fault %q", args[0])
	}
	f := ffrelay.Fault{Kind: kind}
	if len(args) > 1 && args[1] == ffrelay.DirectionUpstream.String() {
		f.Direction = ffrelay.DirectionUpstream
	}
	if len(args) > 1 && args[1] == ffrelay.DirectionClient.String() {
		f.Direction = ffrelay.DirectionClient
	}
	return f, nil
}

// link sets a fault of the connections that one data centre opens to another.
func (s *stage) link(args []string, relay func(*ffdeployment.Node) *ffrelay.Split) error {
	f, err := faultOf(args[2:])
	if err != nil {
		return err
	}
	source := s.deployment.In(args[0])[0].Source()
	for _, n := range s.deployment.In(args[1]) {
		if err := relay(n).From(source).SetFault(f); err != nil {
			return err
		}
	}
	return nil
}

func (s *stage) forward(args []string) error {
	return s.link(args, func(n *ffdeployment.Node) *ffrelay.Split { return n.Forward })
}

func (s *stage) peers(args []string) error {
	return s.link(args, func(n *ffdeployment.Node) *ffrelay.Split { return n.Peer })
}

func (s *stage) platform(args []string) error {
	f, err := faultOf(args[1:])
	if err != nil {
		return err
	}
	return s.deployment.PlatformRelay(args[0]).SetFault(f)
}

func (s *stage) targetLink(args []string) error {
	n, err := s.node(args[0])
	if err != nil {
		return err
	}
	f, err := faultOf(args[1:])
	if err != nil {
		return err
	}
	return n.TargetLink.SetFault(f)
}

// each does something to the daemon or the target of each VM.
func (s *stage) each(args []string, do func(*ffprocess.Process) error) error {
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

func (s *stage) freeze(args []string) error { return s.each(args, (*ffprocess.Process).Freeze) }

func (s *stage) wake(args []string) error { return s.each(args, (*ffprocess.Process).Wake) }

func (s *stage) kill(args []string) error { return s.each(args, (*ffprocess.Process).Kill) }

func (s *stage) restart(args []string) error {
	nodes, err := s.nodes(args[1:])
	if err != nil {
		return err
	}
	ctx, cancel := s.within()
	defer cancel()
	for _, n := range nodes {
		again := n.StartDaemon
		if args[0] == "target" {
			again = n.StartTarget
		}
		if err := again(ctx); err != nil {
			return err
		}
	}
	return nil
}

// stop asks a daemon to leave and does not wait.
func (s *stage) stop(args []string) error {
	n, err := s.node(args[0])
	if err != nil {
		return err
	}
	leave, cancel := context.WithCancel(context.Background())
	cancel() // Stop sends its signal first and then looks whether to wait.
	_ = n.Daemon.Stop(leave)
	return nil
}

func (s *stage) stopped(args []string) error {
	n, err := s.node(args[0])
	if err != nil {
		return err
	}
	ctx, cancel := s.within()
	defer cancel()
	select {
	case <-n.Daemon.Exited():
		return n.Daemon.Status()
	case <-ctx.Done():
		return merry.Errorf("%s still runs", args[0])
	}
}
