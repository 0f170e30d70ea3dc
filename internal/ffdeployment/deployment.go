package ffdeployment

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffoperator"
	"fireflyfall.dev/fireflyfall/internal/ffprocess"
	"fireflyfall.dev/fireflyfall/internal/ffrelay"
	"fireflyfall.dev/fireflyfall/internal/ffstand"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
	"fireflyfall.dev/fireflyfall/pkg/ffdeclaration"
)

const (
	// startParallel bounds the processes that are started at once.
	startParallel = 16
	// pollInterval is the time between two looks at all daemons.
	pollInterval = 20 * time.Millisecond
	// defaultPlatformRate is the platform's ceiling, in calls a second.
	defaultPlatformRate = 2000
	// portsPerNode is the number of ports that the processes of a VM listen on.
	portsPerNode = 6
)

// Deployment is a running deployment.
type Deployment struct {
	Platform ffstand.PlatformControl
	Nodes    []*Node

	plan           Plan
	binaries       *ffprocess.Binaries
	directory      string
	group          ffprocess.Group
	platform       string
	operators      ffoperator.Client
	platformRelays map[string]*ffrelay.Relay
}

// Start starts the platform's stand-in and every VM of the plan. Binaries and
// bundles go into directory.
func Start(ctx context.Context, plan Plan, directory string) (*Deployment, error) {
	if plan.MaxFleet == 0 {
		plan.MaxFleet = len(plan.Fleet)
	}
	if plan.PlatformRate == 0 {
		plan.PlatformRate = defaultPlatformRate
	}
	d := &Deployment{
		plan:           plan,
		directory:      directory,
		binaries:       plan.Binaries,
		platformRelays: make(map[string]*ffrelay.Relay),
	}
	if d.binaries == nil {
		d.binaries = &ffprocess.Binaries{Directory: filepath.Join(directory, "bin")}
	}
	if err := d.startAll(ctx); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) startAll(ctx context.Context) error {
	if err := d.startPlatform(ctx); err != nil {
		return err
	}
	if err := d.prepareNodes(); err != nil {
		return err
	}
	if err := d.Platform.SetVMs(ctx, d.VMs()); err != nil {
		return err
	}
	return d.startNodes(ctx, d.Nodes)
}

func (d *Deployment) startPlatform(ctx context.Context) error {
	addresses, err := ffprocess.FreeAddresses(2)
	if err != nil {
		return &Error{Op: "start platform", Kind: KindAddress, Err: err}
	}
	d.platform = addresses[0]
	d.Platform = ffstand.PlatformControl{Address: addresses[1]}
	_, err = d.start(ctx, "fireflystand", ffprocess.Spec{
		Name: "platform",
		Args: []string{
			"platform", "--listen", addresses[0], "--control", addresses[1],
			"--calls-per-second", strconv.Itoa(int(d.plan.PlatformRate)), "--vm-lag", d.plan.VMLag.String(),
		},
		ReadyURL: "http://" + addresses[1] + "/control/ready",
	})
	return err
}

// prepareNodes gives every VM its addresses and relays.
func (d *Deployment) prepareNodes() error {
	var dataCentres []string
	for _, vm := range d.plan.Fleet {
		if !slices.Contains(dataCentres, vm.DataCentre) {
			dataCentres = append(dataCentres, vm.DataCentre)
		}
	}
	subnet := byte(1 + rand.IntN(subnets))
	free := make(map[netip.Addr][]string)
	for _, vm := range d.plan.Fleet {
		source := sourceOf(subnet, slices.Index(dataCentres, vm.DataCentre))
		if len(free[source]) == 0 {
			addresses, err := ffprocess.FreeAddressesAt(source, portsPerNode*d.plan.count(vm.DataCentre))
			if err != nil {
				return &Error{Op: "prepare", Kind: KindAddress, Err: err}
			}
			free[source] = addresses
		}
		own := portsOf(free[source][:portsPerNode])
		free[source] = free[source][portsPerNode:]
		n := &Node{VM: vm, deployment: d, source: source, ports: own, Caller: own.caller, Target: ffstand.TargetControl{Address: own.targetControl}}
		n.VM.PeerAddress = own.peer
		n.VM.ForwardAddress = own.forward
		n.VM.OperatorAddress = own.operator
		if err := n.prepareRelays(d.plan.Relays); err != nil {
			return err
		}
		d.Nodes = append(d.Nodes, n)
	}
	return nil
}

// subnets is the number of loopback networks among which deployments choose, so
// that two at a time seldom share one.
const subnets = 250

// sourceOf returns the loopback address of a data centre by its index.
func sourceOf(subnet byte, index int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, subnet, byte(index), 1})
}

func portsOf(a []string) ports {
	return ports{caller: a[0], peer: a[1], forward: a[2], operator: a[3], target: a[4], targetControl: a[5]}
}

func (n *Node) prepareRelays(wanted bool) error {
	if !wanted {
		return nil
	}
	var err error
	if n.Peer, err = ffrelay.NewSplit(anyPort, n.ports.peer); err != nil {
		return err
	}
	if n.Forward, err = ffrelay.NewSplit(anyPort, n.ports.forward); err != nil {
		return err
	}
	if n.TargetLink, err = ffrelay.New(anyPort, n.ports.target); err != nil {
		return err
	}
	n.VM.PeerAddress = n.Peer.Address()
	n.VM.ForwardAddress = n.Forward.Address()
	return nil
}

// anyPort lets the system choose the port of a relay.
const anyPort = "127.0.0.1:0"

func (d *Deployment) startNodes(ctx context.Context, nodes []*Node) error {
	for _, n := range nodes {
		if err := d.preparePlatformRelay(n.VM.DataCentre); err != nil {
			return err
		}
	}
	var g errgroup.Group
	g.SetLimit(startParallel)
	for _, n := range nodes {
		g.Go(func() error {
			if !d.plan.WithoutTargets {
				if err := n.StartTarget(ctx); err != nil {
					return err
				}
			}
			return n.StartDaemon(ctx)
		})
	}
	return g.Wait()
}

func (d *Deployment) preparePlatformRelay(dataCentre string) error {
	if !d.plan.Relays || d.platformRelays[dataCentre] != nil {
		return nil
	}
	// A cut closes the relay's port for a while, in which no outgoing connection may take it.
	free, err := ffprocess.FreeAddresses(1)
	if err != nil {
		return &Error{Op: "prepare", Kind: KindAddress, Err: err}
	}
	r, err := ffrelay.New(free[0], d.platform)
	if err != nil {
		return err
	}
	d.platformRelays[dataCentre] = r
	return nil
}

func (d *Deployment) platformFor(dataCentre string) string {
	if r := d.platformRelays[dataCentre]; r != nil {
		return r.Address()
	}
	return d.platform
}

// PlatformAddress returns the address of the platform itself.
func (d *Deployment) PlatformAddress() string { return d.platform }

// PlatformRelay returns the relay between a data centre and the platform.
func (d *Deployment) PlatformRelay(dataCentre string) *ffrelay.Relay {
	return d.platformRelays[dataCentre]
}

func (d *Deployment) start(ctx context.Context, program string, spec ffprocess.Spec) (*ffprocess.Process, error) {
	path, err := d.binaries.Path(ctx, program)
	if err != nil {
		return nil, &Error{Op: "start", Kind: KindProcess, Err: err}
	}
	spec.Path = path
	p, err := d.group.Start(ctx, spec)
	if err != nil {
		return nil, &Error{Op: "start", Kind: KindProcess, Err: err}
	}
	return p, nil
}

// VMs returns the platform's list of the deployment.
func (d *Deployment) VMs() []ffmember.VM {
	vms := make([]ffmember.VM, len(d.Nodes))
	for i, n := range d.Nodes {
		vms[i] = n.VM
	}
	return vms
}

// In returns the nodes of a data centre, or all when it is empty.
func (d *Deployment) In(dataCentre string) []*Node {
	var nodes []*Node
	for _, n := range d.Nodes {
		if dataCentre == "" || n.VM.DataCentre == dataCentre {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// Build writes the bundle of declarations under a number and returns its directory and version.
func (d *Deployment) Build(declarations string, number uint64) (string, ffconfig.Version, error) {
	read, err := ffdeclaration.Read(declarations)
	if err != nil {
		return "", ffconfig.Version{}, &Error{Op: "build", Kind: KindFile, Err: err}
	}
	b, err := ffdeclaration.Build(read, number)
	if err != nil {
		return "", ffconfig.Version{}, &Error{Op: "build", Kind: KindFile, Err: err}
	}
	v := b.Snapshot.Version()
	directory := filepath.Join(d.directory, "bundle-"+v.String())
	if err := os.RemoveAll(directory); err != nil {
		return "", v, &Error{Op: "build", Kind: KindFile, Err: err}
	}
	return directory, v, b.Write(directory)
}

// Publish builds declarations under a number and puts the bundle on the platform.
func (d *Deployment) Publish(ctx context.Context, declarations string, number uint64) (ffconfig.Version, error) {
	directory, v, err := d.Build(declarations, number)
	if err != nil {
		return v, err
	}
	return v, d.Platform.PublishBundle(ctx, directory)
}

// AwaitVersion waits until every given daemon has the version in force and is
// ready, and returns when each was first seen so.
func (d *Deployment) AwaitVersion(ctx context.Context, nodes []*Node, v ffconfig.Version) ([]time.Time, error) {
	seen := make([]time.Time, len(nodes))
	var g errgroup.Group
	for i, n := range nodes {
		g.Go(func() error {
			at, err := n.awaitVersion(ctx, v)
			seen[i] = at
			return err
		})
	}
	return seen, g.Wait()
}

func (n *Node) awaitVersion(ctx context.Context, v ffconfig.Version) (time.Time, error) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		s, err := n.Status(ctx)
		if err == nil && s.Ready && !v.NewerThan(s.Version) {
			return time.Now(), nil
		}
		select {
		case <-ctx.Done():
			return time.Time{}, &Error{Op: "await version", Kind: KindDeadline, Err: merry.Errorf("%s has %s, wanted is %s: %w: last lines %q", n.VM.Name, s.Version, v, ctx.Err(), n.lastLines())}
		case <-ticker.C:
		}
	}
}

// Close ends every process and relay.
func (d *Deployment) Close() {
	d.group.Close()
	for _, r := range d.platformRelays {
		r.Close()
	}
	for _, n := range d.Nodes {
		n.closeRelays()
	}
}

func (n *Node) closeRelays() {
	if n.Peer == nil {
		return
	}
	n.Peer.Close()
	n.Forward.Close()
	n.TargetLink.Close()
}
