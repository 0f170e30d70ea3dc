package ffdistribution_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffdistribution"
	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// fleet runs daemons on a fake network and a fake platform in a synctest bubble.
type fleet struct {
	platform *platform
	network  *network
	vms      []ffmember.VM
	running  map[string]*daemonRun
	starts   uint64
	// fleetSize is the size given to the budgets; the number of VMs if zero.
	fleetSize int
	// intN replaces the random numbers of the daemons; optional.
	intN func(n int) int

	mu     sync.Mutex
	faults []string
}

// daemonRun is one run of a daemon.
type daemonRun struct {
	node    *ffdistribution.Node
	cancel  context.CancelFunc
	done    chan struct{}
	mu      sync.Mutex
	applied []ffconfig.Version
}

func newFleet(dataCentres, each int) *fleet {
	f := &fleet{running: make(map[string]*daemonRun)}
	for d := range dataCentres {
		for i := range each {
			name := fmt.Sprintf("vm-%d-%d", d, i)
			f.vms = append(f.vms, ffmember.VM{Name: name, DataCentre: fmt.Sprintf("dc-%d", d), Service: "desk", PeerAddress: name})
		}
	}
	f.platform = newPlatform(f.vms)
	f.network = &network{
		nodes:    make(map[string]*ffdistribution.Node),
		blocked:  make(map[[2]string]bool),
		random:   rand.New(rand.NewPCG(1, 2)),
		maxDelay: 20 * time.Millisecond,
	}
	return f
}

func (f *fleet) startAll() {
	for _, vm := range f.vms {
		f.start(vm, f.platform)
	}
}

// start starts a daemon with empty state. A running daemon of the VM is stopped first.
func (f *fleet) start(vm ffmember.VM, p *platform) *daemonRun {
	f.stop(vm)
	f.starts++
	r := &daemonRun{done: make(chan struct{})}
	store := &ffdistribution.Store{OnApply: func(old, applied *ffconfig.Snapshot) { f.onApply(r, old, applied) }}
	r.node = &ffdistribution.Node{
		Self:        vm,
		Incarnation: ffmember.NewIncarnation(time.Now(), f.starts),
		Store:       store,
		Members:     &ffdistribution.Members{},
		Budget:      &ffdistribution.Budget{Name: vm.Name, FleetSize: cmp.Or(f.fleetSize, len(f.vms))},
		Peers:       link{network: f.network, from: vm.Name},
		IntN:        f.intN,
	}
	r.node.Platform = budgetedPlatform{platform: p, budget: r.node.Budget}
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	f.network.set(func() { f.network.nodes[vm.Name] = r.node })
	f.running[vm.Name] = r
	go r.run(ctx)
	return r
}

func (r *daemonRun) run(ctx context.Context) {
	defer close(r.done)
	_ = r.node.Run(ctx)
}

// stop stops a daemon without announcing that it leaves.
func (f *fleet) stop(vm ffmember.VM) {
	r, ok := f.running[vm.Name]
	if !ok {
		return
	}
	f.network.set(func() { delete(f.network.nodes, vm.Name) })
	r.cancel()
	<-r.done
	delete(f.running, vm.Name)
}

func (f *fleet) stopAll() {
	for _, vm := range f.vms {
		f.stop(vm)
	}
}

// onApply checks the invariants of each change of the active version: it is newer,
// and its pieces belong together.
func (f *fleet) onApply(r *daemonRun, old, applied *ffconfig.Snapshot) {
	if old != nil && !applied.Version().NewerThan(old.Version()) {
		f.recordFault("reverted from %v to %v", old.Version(), applied.Version())
	}
	service := applied.Services()[0]
	for _, route := range applied.Routes() {
		if route.Service != service {
			f.recordFault("%v mixes pieces of versions: route %s refers to service %s", applied.Version(), route.Name, route.Service)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applied = append(r.applied, applied.Version())
}

func (f *fleet) recordFault(format string, values ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = append(f.faults, fmt.Sprintf(format, values...))
}

// behind returns the daemons that are not ready or have another active version.
func (f *fleet) behind(want ffconfig.Version) []string {
	var behind []string
	for _, vm := range f.vms {
		r, ok := f.running[vm.Name]
		if !ok {
			continue
		}
		if got := r.node.Store.Version(); got != want || !r.node.Ready() {
			behind = append(behind, fmt.Sprintf("%s has %v, ready %v", vm.Name, got, r.node.Ready()))
		}
	}
	return behind
}

// advance advances the bubble's clock.
func advance(d time.Duration) { <-time.After(d) }

// requireActive fails the test unless every running daemon is ready with this active
// version after the given time.
func (f *fleet) requireActive(t *testing.T, want ffconfig.Version, within time.Duration) {
	t.Helper()
	advance(within)
	if behind := f.behind(want); len(behind) > 0 {
		t.Errorf("%v is not active after %v on: %v", want, within, behind)
	}
	f.requireNoFault(t)
}

func (f *fleet) requireNoFault(t *testing.T) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, fault := range f.faults {
		t.Error(fault)
	}
}

// inFleet runs a test with a fleet in a synctest bubble.
func inFleet(t *testing.T, dataCentres, each int, test func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(dataCentres, each)
		defer f.stopAll()
		test(t, f)
	})
}
