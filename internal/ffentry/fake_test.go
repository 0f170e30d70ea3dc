package ffentry_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"

	_ "fireflyfall.dev/fireflyfall/internal/ffseed" // fixes the seed

	"fireflyfall.dev/fireflyfall/internal/ffbalance"
	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/internal/ffentry"
	"fireflyfall.dev/fireflyfall/internal/fflimit"
	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffretry"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

const (
	// own is the VM of the daemon under test.
	own = "vm-0"
	// longestDelay draws nearly the longest delay before each retry.
	longestDelay = 0.99
)

// noDeadline hides the test's deadline, which has no meaning in virtual time.
type noDeadline struct{ testing.TB }

// behaviour is what becomes of one attempt.
type behaviour struct {
	runs  bool
	delay time.Duration
	// err is nil when the attempt is answered.
	err *ffcall.Error
}

// trial is one attempt with what it reported.
type trial struct {
	call  ffcall.Call
	vm    string
	start time.Time
	runs  bool
	reply *ffcall.Reply
	err   error
}

// world stands for all gates. It gives the attempts their behaviours in turn;
// when there are no more, each is answered.
type world struct {
	mu     sync.Mutex
	script []behaviour
	trials []*trial
}

func (w *world) begin(vm string, c *ffcall.Call) (*trial, behaviour) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := behaviour{runs: true}
	if len(w.script) > 0 {
		b, w.script = w.script[0], w.script[1:]
	}
	t := &trial{call: *c, vm: vm, start: time.Now(), runs: b.runs}
	w.trials = append(w.trials, t)
	return t, b
}

func (w *world) attempt(ctx context.Context, vm string, c *ffcall.Call) (*ffcall.Reply, error) {
	t, b := w.begin(vm, c)
	reply, err := b.play(ctx, c)
	w.mu.Lock()
	defer w.mu.Unlock()
	t.reply, t.err = reply, err
	return reply, err
}

func (b behaviour) play(ctx context.Context, c *ffcall.Call) (*ffcall.Reply, error) {
	timer := time.NewTimer(b.delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return nil, &ffcall.Error{Op: "fake", Kind: ffcall.KindCancelled, Err: context.Cause(ctx)}
	}
	if b.err != nil {
		return nil, b.err
	}
	return &ffcall.Reply{Status: 200, Body: []byte(c.ID)}, nil
}

func (w *world) runs() int {
	n := 0
	for _, t := range w.trials {
		if t.runs {
			n++
		}
	}
	return n
}

// Do implements ffentry.Gate.
func (w *world) Do(ctx context.Context, c *ffcall.Call) (*ffcall.Reply, error) {
	return w.attempt(ctx, own, c)
}

// Mint implements ffentry.Gate.
func (*world) Mint(string, string) (string, error) { return "", merry.New("no tokens here") }

// remote is the way to the other gates of a world.
type remote struct{ *world }

// Do implements ffentry.Remote.
func (r remote) Do(ctx context.Context, vm ffmember.VM, c *ffcall.Call) (*ffcall.Reply, error) {
	return r.attempt(ctx, vm.Name, c)
}

// Mint implements ffentry.Remote.
func (remote) Mint(context.Context, ffmember.VM, string, string) (string, error) {
	return "", ffcall.Refuse("fake", ffcall.KindUnreachable, merry.New("cut"))
}

// inOrder chooses the first VM that is not excluded.
type inOrder struct{}

func (inOrder) Choose(_ string, _ ffconfig.Class, _ time.Time, view []ffmember.VM, exclude ...string) (ffmember.VM, error) {
	for _, vm := range view {
		if !slices.Contains(exclude, vm.Name) {
			return vm, nil
		}
	}
	return ffmember.VM{}, merry.New("no target is left")
}

func (inOrder) Started(string, ffconfig.Class, time.Time) {}

func (inOrder) Finished(string, time.Time, ffbalance.Result) {}

// fixedView is a fleet that does not change.
type fixedView struct{ view *ffmember.View }

func (f fixedView) View() *ffmember.View { return f.view }

func fleetOf(names ...string) fixedView {
	vms := make([]ffmember.VM, len(names))
	for i, name := range names {
		vms[i] = ffmember.VM{Name: name, DataCentre: "khan-uul", Service: "ledger"}
	}
	return fixedView{(&ffmember.View{}).WithList(ffmember.NewList(1, vms))}
}

// unlimited admits every call.
type unlimited struct{}

func (unlimited) Acquire(context.Context, *ffconfig.Contract, func() time.Time) (fflimit.Permit, *ffcall.Error) {
	return fflimit.Permit{}, nil
}

func newEntry(w *world, vms ...string) *ffentry.Entry {
	return &ffentry.Entry{
		Self: own, Members: fleetOf(vms...), Limiter: unlimited{}, Chooser: inOrder{},
		Retry: &ffretry.Policy{Draw: func() float64 { return longestDelay }}, Gate: w, Remote: remote{w},
	}
}

// routeOf returns a route of the service "ledger".
func routeOf(name string, idempotent bool) *ffconfig.Route {
	return &ffconfig.Route{Name: name, Method: "POST", Path: "/" + name, Service: "ledger", Idempotent: idempotent, TimeoutMillis: 1000}
}
