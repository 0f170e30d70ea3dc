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
	// maxParallelStarts is the maximum number of VMs started concurrently.
	maxParallelStarts = 16
	// pollInterval is the interval between status requests to a daemon.
	pollInterval = 20 * time.Millisecond
	// defaultPlatformRate is the default rate limit of the platform, in calls per second.
	defaultPlatformRate = 2000
	// portsPerNode is the number of ports that the processes of a VM listen on.
	portsPerNode = 6
)

// Deployment is a running deployment: the stand-in for the platform and the VMs.
type Deployment struct {
	// Platform controls the stand-in for the platform.
	Platform ffstand.PlatformControl
	Nodes    []*Node

	plan            Plan
	binaries        *ffprocess.Binaries
	directory       string
	group           ffprocess.Group
	platformAddress string
	operatorClient  ffoperator.Client
	platformRelays  map[string]*ffrelay.Relay
}

// Start starts the stand-in for the platform and every VM of the plan. Binaries, unless
// plan.Binaries is set, and bundles are written to directory. It does not wait until the
// daemons are ready. If it fails, all processes that it started are ended.
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

// startAll starts the platform, publishes the list of VMs and starts all nodes.
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

// startPlatform starts the stand-in for the platform on free loopback addresses.
func (d *Deployment) startPlatform(ctx context.Context) error {
	addresses, err := ffprocess.FreeAddresses(2)
	if err != nil {
		return &Error{Op: "start platform", Kind: KindAddress, Err: err}
	}
	d.platformAddress = addresses[0]
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

// prepareNodes allocates the addresses of every VM and starts its relays.
func (d *Deployment) prepareNodes() error {
	var dataCentres []string
	for _, vm := range d.plan.Fleet {
		if !slices.Contains(dataCentres, vm.DataCentre) {
			dataCentres = append(dataCentres, vm.DataCentre)
		}
	}
	subnet := byte(1 + rand.IntN(subnetCount))
	free := make(map[netip.Addr][]string)
	for _, vm := range d.plan.Fleet {
		source := loopbackAddress(subnet, slices.Index(dataCentres, vm.DataCentre))
		if len(free[source]) == 0 {
			addresses, err := ffprocess.FreeAddressesOn(source, portsPerNode*d.plan.count(vm.DataCentre))
			if err != nil {
				return &Error{Op: "prepare", Kind: KindAddress, Err: err}
			}
			free[source] = addresses
		}
		allocated := newPorts(free[source][:portsPerNode])
		free[source] = free[source][portsPerNode:]
		n := &Node{VM: vm, deployment: d, source: source, ports: allocated, CallerAddress: allocated.caller, Target: ffstand.TargetControl{Address: allocated.targetControl}}
		n.VM.PeerAddress = allocated.peer
		n.VM.ForwardAddress = allocated.forward
		n.VM.OperatorAddress = allocated.operator
		if err := n.prepareRelays(d.plan.Relays); err != nil {
			return err
		}
		d.Nodes = append(d.Nodes, n)
	}
	return nil
}

// subnetCount is the number of loopback subnets. Each deployment chooses one at random, so
// that two concurrent deployments rarely share one.
const subnetCount = 250

// loopbackAddress returns the loopback address of the data centre with the given index.
func loopbackAddress(subnet byte, index int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, subnet, byte(index), 1})
}

// newPorts assigns the addresses a to the listeners of a VM; len(a) is portsPerNode.
func newPorts(a []string) ports {
	return ports{caller: a[0], peer: a[1], forward: a[2], operator: a[3], target: a[4], targetControl: a[5]}
}

// prepareRelays starts the relays of n and advertises their addresses instead of the
// daemon's, if relays are enabled.
func (n *Node) prepareRelays(enabled bool) error {
	if !enabled {
		return nil
	}
	var err error
	if n.PeerRelay, err = ffrelay.NewSplit(anyLoopbackPort, n.ports.peer); err != nil {
		return err
	}
	if n.ForwardRelay, err = ffrelay.NewSplit(anyLoopbackPort, n.ports.forward); err != nil {
		return err
	}
	if n.TargetRelay, err = ffrelay.New(anyLoopbackPort, n.ports.target); err != nil {
		return err
	}
	n.VM.PeerAddress = n.PeerRelay.Address()
	n.VM.ForwardAddress = n.ForwardRelay.Address()
	return nil
}

// anyLoopbackPort makes the operating system choose the port of a relay.
const anyLoopbackPort = "127.0.0.1:0"

// startNodes starts the platform relays that nodes need, and the targets and daemons of nodes.
func (d *Deployment) startNodes(ctx context.Context, nodes []*Node) error {
	for _, n := range nodes {
		if err := d.preparePlatformRelay(n.VM.DataCentre); err != nil {
			return err
		}
	}
	var g errgroup.Group
	g.SetLimit(maxParallelStarts)
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

// preparePlatformRelay starts the relay between a data centre and the platform, if relays
// are enabled and it isn't running yet.
func (d *Deployment) preparePlatformRelay(dataCentre string) error {
	if !d.plan.Relays || d.platformRelays[dataCentre] != nil {
		return nil
	}
	// The cut fault closes the relay's port for a while. The port must be one that is not
	// assigned to an outgoing connection in the meantime.
	free, err := ffprocess.FreeAddresses(1)
	if err != nil {
		return &Error{Op: "prepare", Kind: KindAddress, Err: err}
	}
	r, err := ffrelay.New(free[0], d.platformAddress)
	if err != nil {
		return err
	}
	d.platformRelays[dataCentre] = r
	return nil
}

// platformFor returns the address of the platform for daemons of a data centre: that of the
// relay, if there is one.
func (d *Deployment) platformFor(dataCentre string) string {
	if r := d.platformRelays[dataCentre]; r != nil {
		return r.Address()
	}
	return d.platformAddress
}

// PlatformAddress returns the address of the platform, bypassing relays.
func (d *Deployment) PlatformAddress() string { return d.platformAddress }

// PlatformRelay returns the relay between a data centre and the platform; nil without relays.
func (d *Deployment) PlatformRelay(dataCentre string) *ffrelay.Relay {
	return d.platformRelays[dataCentre]
}

// start builds program, unless d.binaries has built it before, and starts it as described
// by spec.
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

// VMs returns the VMs of the deployment with their addresses, as listed at the platform.
func (d *Deployment) VMs() []ffmember.VM {
	vms := make([]ffmember.VM, len(d.Nodes))
	for i, n := range d.Nodes {
		vms[i] = n.VM
	}
	return vms
}

// In returns the nodes of a data centre, or all nodes if dataCentre is empty.
func (d *Deployment) In(dataCentre string) []*Node {
	var nodes []*Node
	for _, n := range d.Nodes {
		if dataCentre == "" || n.VM.DataCentre == dataCentre {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// Build builds the directory declarations as the version with the given number, writes its
// bundle and returns the bundle's directory and the version.
func (d *Deployment) Build(declarations string, number uint64) (string, ffconfig.Version, error) {
	parsed, err := ffdeclaration.Read(declarations)
	if err != nil {
		return "", ffconfig.Version{}, &Error{Op: "build", Kind: KindFile, Err: err}
	}
	b, err := ffdeclaration.Build(parsed, number)
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

// Publish builds the directory declarations as the version with the given number and
// publishes its bundle on the platform.
func (d *Deployment) Publish(ctx context.Context, declarations string, number uint64) (ffconfig.Version, error) {
	directory, v, err := d.Build(declarations, number)
	if err != nil {
		return v, err
	}
	return v, d.Platform.PublishBundle(ctx, directory)
}

// AwaitVersion polls every given daemon until it is ready and has version v or a newer one
// in force. It returns the times at which this was first observed, in the order of nodes.
// An error of KindDeadline contains the daemon's latest log lines.
func (d *Deployment) AwaitVersion(ctx context.Context, nodes []*Node, v ffconfig.Version) ([]time.Time, error) {
	observed := make([]time.Time, len(nodes))
	var g errgroup.Group
	for i, n := range nodes {
		g.Go(func() error {
			at, err := n.awaitVersion(ctx, v)
			observed[i] = at
			return err
		})
	}
	return observed, g.Wait()
}

// awaitVersion polls the daemon until it is ready with v or a newer version.
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
			return time.Time{}, &Error{Op: "await version", Kind: KindDeadline, Err: merry.Errorf("%s has version %s, want %s: %w: latest log lines %q", n.VM.Name, s.Version, v, ctx.Err(), n.lastLines())}
		case <-ticker.C:
		}
	}
}

// Close stops all processes and relays.
func (d *Deployment) Close() {
	d.group.Close()
	for _, r := range d.platformRelays {
		r.Close()
	}
	for _, n := range d.Nodes {
		n.closeRelays()
	}
}

// closeRelays closes the relays of n, if it has any.
func (n *Node) closeRelays() {
	if n.PeerRelay == nil {
		return
	}
	n.PeerRelay.Close()
	n.ForwardRelay.Close()
	n.TargetRelay.Close()
}
