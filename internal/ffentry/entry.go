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

// SnapshotSource provides the active configuration snapshot.
type SnapshotSource interface {
	Snapshot() *ffconfig.Snapshot
}

// Readiness reports whether the daemon has the data that it needs to serve calls.
type Readiness interface {
	Ready() bool
}

// Members provides the current view of all VMs.
type Members interface {
	View() *ffmember.View
}

// Limiter admits calls within the limits of their contracts.
type Limiter interface {
	Acquire(ctx context.Context, c *ffconfig.Contract, clock func() time.Time) (fflimit.Permit, *ffcall.Error)
}

// Chooser chooses the target of an attempt; it is informed of the start and the
// result of each.
type Chooser interface {
	Choose(service string, class ffconfig.Class, now time.Time, view []ffmember.VM, exclude ...string) (ffmember.VM, error)
	Started(vm string, class ffconfig.Class, now time.Time)
	Finished(vm string, now time.Time, r ffbalance.Result)
}

// Gate executes calls at the target on the VM of this daemon.
type Gate interface {
	Do(ctx context.Context, c *ffcall.Call) (*ffcall.Reply, error)
	Mint(customer, route string) (string, error)
}

// RemoteGates executes calls at the targets of other VMs.
type RemoteGates interface {
	Do(ctx context.Context, vm ffmember.VM, c *ffcall.Call) (*ffcall.Reply, error)
	Mint(ctx context.Context, vm ffmember.VM, customer, route string) (string, error)
}

// Entry authenticates, admits and executes the calls of callers.
type Entry struct {
	// Self is the name of the VM of this daemon.
	Self      string
	Snapshots SnapshotSource
	Readiness Readiness
	Members   Members
	Limiter   Limiter
	Chooser   Chooser
	Retry     *ffretry.Policy
	Gate      Gate
	Remote    RemoteGates
	// NoHedging disables hedged attempts, for comparison.
	NoHedging bool

	waiting waitingCalls
}

// Serve executes an admitted call, with retries and hedging. Its error is an
// *ffcall.Error.
func (e *Entry) Serve(ctx context.Context, a *Admission, call *ffcall.Call) (*ffcall.Reply, error) {
	e.Retry.RecordCall(a.Contract)
	if call.Token != "" {
		return e.serveWithToken(ctx, call)
	}
	s := &dispatch{entry: e, contract: a.Contract, call: call}
	return s.serve(ctx)
}

// do executes one attempt at the gate of vm.
func (e *Entry) do(ctx context.Context, vm ffmember.VM, call *ffcall.Call) (*ffcall.Reply, error) {
	if vm.Name == e.Self {
		return e.Gate.Do(ctx, call)
	}
	return e.Remote.Do(ctx, vm, call)
}

// choose chooses a live target of the route's service that has not been tried.
func (e *Entry) choose(route *ffconfig.Route, tried []string) (ffmember.VM, error) {
	live := e.Members.View().Live(route.Service)
	vm, err := e.Chooser.Choose(route.Service, route.Class, time.Now(), live, tried...)
	if err != nil {
		return vm, ffcall.Refuse("choose", ffcall.KindUnreachable, merry.Prependf(err, "service %s", route.Service))
	}
	return vm, nil
}
