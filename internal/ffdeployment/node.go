package ffdeployment

import (
	"context"
	"net/netip"
	"strconv"

	"fireflyfall.dev/fireflyfall/internal/ffaudit"
	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffoperator"
	"fireflyfall.dev/fireflyfall/internal/ffprocess"
	"fireflyfall.dev/fireflyfall/internal/ffrelay"
	"fireflyfall.dev/fireflyfall/internal/ffstand"
)

// Node is one VM of a deployment.
type Node struct {
	// VM is the entry of the platform's list.
	VM ffmember.VM
	// Caller is the address for callers.
	Caller string
	// Target drives the target.
	Target ffstand.TargetControl
	// Daemon and TargetProcess are the processes of the VM.
	Daemon        *ffprocess.Process
	TargetProcess *ffprocess.Process
	// Peer, Forward and TargetLink are the relays before the daemon's ports and
	// between the daemon and its target; nil without relays.
	Peer, Forward *ffrelay.Split
	TargetLink    *ffrelay.Relay

	deployment *Deployment
	source     netip.Addr
	ports      ports
	daemonArgs []string
}

// ports are the addresses that the processes of a VM listen on.
type ports struct {
	caller, peer, forward, operator, target, targetControl string
}

// Source returns the address from which the VM's daemon connects; all VMs of a
// data centre share it.
func (n *Node) Source() netip.Addr { return n.source }

// StartTarget starts the target's process.
func (n *Node) StartTarget(ctx context.Context) error {
	args := []string{"target", "--name", n.VM.Name, "--listen", n.ports.target, "--control", n.ports.targetControl}
	if n.deployment.plan.Targets != nil {
		args = append(args, n.deployment.plan.Targets(n.VM)...)
	}
	p, err := n.deployment.start(ctx, "fireflystand", ffprocess.Spec{
		Name:     "target " + n.VM.Name,
		Args:     args,
		ReadyURL: "http://" + n.ports.targetControl + "/control/ready",
	})
	n.TargetProcess = p
	return err
}

// StartDaemon starts the daemon's process, and does not wait until it is ready.
func (n *Node) StartDaemon(ctx context.Context) error {
	p, err := n.deployment.start(ctx, "fireflyfall", ffprocess.Spec{
		Name:     "daemon " + n.VM.Name,
		Args:     n.daemonArguments(),
		ReadyURL: "http://" + n.ports.operator + "/healthz",
	})
	if err != nil {
		return err
	}
	n.Daemon = p
	return nil
}

func (n *Node) daemonArguments() []string {
	plan := n.deployment.plan
	target := n.ports.target
	if n.TargetLink != nil {
		target = n.TargetLink.Address()
	}
	args := []string{
		"daemon", "--name", n.VM.Name, "--data-centre", n.VM.DataCentre, "--service", n.VM.Service,
		"--target", target, "--caller-address", n.ports.caller, "--operator-address", n.ports.operator,
		"--peer-address", n.ports.peer, "--forward-address", n.ports.forward,
		"--peer-advertised", n.VM.PeerAddress, "--forward-advertised", n.VM.ForwardAddress,
		"--platform", n.deployment.platformFor(n.VM.DataCentre),
		"--max-fleet", strconv.Itoa(plan.MaxFleet),
		"--platform-rate", strconv.FormatFloat(plan.PlatformRate, 'g', -1, 64),
	}
	args = append(args, plan.DaemonArgs...)
	return append(args, n.daemonArgs...)
}

// Status asks the daemon for its status.
func (n *Node) Status(ctx context.Context) (ffoperator.Status, error) {
	return n.deployment.operators.Status(ctx, n.ports.operator)
}

// Audit asks the daemon for its audit trail.
func (n *Node) Audit(ctx context.Context) ([]ffaudit.Event, error) {
	return n.deployment.operators.Audit(ctx, n.ports.operator)
}

// TargetAddress returns the address of the target itself.
func (n *Node) TargetAddress() string { return n.ports.target }

// Operator returns the daemon's address for operators.
func (n *Node) Operator() string { return n.ports.operator }
