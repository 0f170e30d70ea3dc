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
	// VM is the entry in the platform's list of VMs.
	VM ffmember.VM
	// CallerAddress is the address on which the daemon accepts calls.
	CallerAddress string
	// Target controls the stand-in for the target.
	Target ffstand.TargetControl
	// Daemon and TargetProcess are the processes of the VM; nil until they are started.
	Daemon        *ffprocess.Process
	TargetProcess *ffprocess.Process
	// PeerRelay and ForwardRelay are the relays in front of the daemon's peer and forward ports,
	// TargetRelay is the relay between the daemon and its target; nil without relays.
	PeerRelay, ForwardRelay *ffrelay.Split
	TargetRelay             *ffrelay.Relay

	deployment *Deployment
	source     netip.Addr
	ports      ports
	daemonArgs []string
}

// ports are the addresses that the processes of a VM listen on.
type ports struct {
	caller, peer, forward, operator, target, targetControl string
}

// SourceAddress returns the source address of the daemon's connections. All VMs of a data centre
// share it.
func (n *Node) SourceAddress() netip.Addr { return n.source }

// StartTarget starts the process of the target and sets n.TargetProcess.
func (n *Node) StartTarget(ctx context.Context) error {
	args := []string{"target", "--name", n.VM.Name, "--listen", n.ports.target, "--control", n.ports.targetControl}
	if n.deployment.plan.TargetArgs != nil {
		args = append(args, n.deployment.plan.TargetArgs(n.VM)...)
	}
	p, err := n.deployment.start(ctx, "fireflystand", ffprocess.Spec{
		Name:     "target " + n.VM.Name,
		Args:     args,
		ReadyURL: "http://" + n.ports.targetControl + "/control/ready",
	})
	n.TargetProcess = p
	return err
}

// StartDaemon starts the process of the daemon and sets n.Daemon. It waits until the daemon
// is healthy, but not until it is ready.
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

// daemonArguments returns the command line of the daemon.
func (n *Node) daemonArguments() []string {
	plan := n.deployment.plan
	target := n.ports.target
	if n.TargetRelay != nil {
		target = n.TargetRelay.Address()
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

// Status requests the status of the daemon.
func (n *Node) Status(ctx context.Context) (ffoperator.Status, error) {
	return n.deployment.operatorClient.Status(ctx, n.ports.operator)
}

// Audit requests the audit trail of the daemon.
func (n *Node) Audit(ctx context.Context) ([]ffaudit.Event, error) {
	return n.deployment.operatorClient.Audit(ctx, n.ports.operator)
}

// TargetAddress returns the address of the target, bypassing relays.
func (n *Node) TargetAddress() string { return n.ports.target }

// OperatorAddress returns the address of the daemon's operator endpoint.
func (n *Node) OperatorAddress() string { return n.ports.operator }
