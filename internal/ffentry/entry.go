package ffentry

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffbalance"
	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/internal/fflimit"
	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffretry"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// Snapshots gives the configuration in force.
type Snapshots interface {
	Snapshot() *ffconfig.Snapshot
}

// Readiness tells whether the daemon has learnt what it needs to serve calls.
type Readiness interface {
	Ready() bool
}

// Members gives what the daemon knows of all VMs.
type Members interface {
	View() *ffmember.View
}

// Limiter admits calls within their contracts.
type Limiter interface {
	Acquire(ctx context.Context, c *ffconfig.Contract, clock func() time.Time) (fflimit.Permit, *ffcall.Error)
}

// Chooser picks the target of an attempt and learns from its result.
type Chooser interface {
	Choose(service string, class ffconfig.Class, now time.Time, view []ffmember.VM, exclude ...string) (ffmember.VM, error)
	Started(vm string, class ffconfig.Class, now time.Time)
	Finished(vm string, now time.Time, r ffbalance.Result)
}

// Gate is the way to the target beside this daemon.
type Gate interface {
	Do(ctx context.Context, c *ffcall.Call) (*ffcall.Reply, error)
	Mint(customer, route string) (string, error)
}

// Remote is the way to the targets of other VMs.
type Remote interface {
	Do(ctx context.Context, vm ffmember.VM, c *ffcall.Call) (*ffcall.Reply, error)
	Mint(ctx context.Context, vm ffmember.VM, customer, route string) (string, error)
}

// Entry takes calls of callers to their answers.
type Entry struct {
	// Self names the VM of this daemon.
	Self      string
	Snapshots Snapshots
	Readiness Readiness
	Members   Members
	Limiter   Limiter
	Chooser   Chooser
	Retry     *ffretry.Policy
	Gate      Gate
	Remote    Remote
	// NoHedge turns hedged attempts off, to compare with and without them.
	NoHedge bool

	patient patient
}

// Serve takes an admitted call to its answer. Its error is an *ffcall.Error.
func (e *Entry) Serve(ctx context.Context, a *Admission, call *ffcall.Call) (*ffcall.Reply, error) {
	e.Retry.Called(a.Contract)
	if call.Token != "" {
		return e.serveBound(ctx, call)
	}
	s := &session{entry: e, contract: a.Contract, call: call}
	return s.serve(ctx)
}

// do runs one attempt at the gate of vm.
func (e *Entry) do(ctx context.Context, vm ffmember.VM, call *ffcall.Call) (*ffcall.Reply, error) {
	if vm.Name == e.Self {
		return e.Gate.Do(ctx, call)
	}
	return e.Remote.Do(ctx, vm, call)
}

// choose picks a target of the service that has not been tried.
func (e *Entry) choose(route *ffconfig.Route, tried []string) (ffmember.VM, error) {
	live := e.Members.View().Live(route.Service)
	vm, err := e.Chooser.Choose(route.Service, route.Class, time.Now(), live, tried...)
	if err != nil {
		return vm, ffcall.Refuse("choose", ffcall.KindUnreachable, merry.Prependf(err, "service %s", route.Service))
	}
	return vm, nil
}
