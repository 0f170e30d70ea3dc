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
	// ownVM is the VM of the daemon under test.
	ownVM = "vm-0"
	// maxJitter draws nearly the longest delay before each retry.
	maxJitter = 0.99
)

// noDeadline hides the test's deadline, which is meaningless in virtual time.
type noDeadline struct{ testing.TB }

// attemptScript defines what one attempt does.
type attemptScript struct {
	runs  bool
	delay time.Duration
	// err is nil when the attempt is answered.
	err *ffcall.Error
}

// recordedAttempt is one attempt and its result.
type recordedAttempt struct {
	call  ffcall.Call
	vm    string
	start time.Time
	runs  bool
	reply *ffcall.Reply
	err   error
}

// fakeGates implements all gates. Attempts follow the scripts in order; further
// attempts are answered at once.
type fakeGates struct {
	mu       sync.Mutex
	scripts  []attemptScript
	attempts []*recordedAttempt
}

func (g *fakeGates) record(vm string, c *ffcall.Call) (*recordedAttempt, attemptScript) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := attemptScript{runs: true}
	if len(g.scripts) > 0 {
		s, g.scripts = g.scripts[0], g.scripts[1:]
	}
	a := &recordedAttempt{call: *c, vm: vm, start: time.Now(), runs: s.runs}
	g.attempts = append(g.attempts, a)
	return a, s
}

func (g *fakeGates) attempt(ctx context.Context, vm string, c *ffcall.Call) (*ffcall.Reply, error) {
	a, s := g.record(vm, c)
	reply, err := s.apply(ctx, c)
	g.mu.Lock()
	defer g.mu.Unlock()
	a.reply, a.err = reply, err
	return reply, err
}

func (s attemptScript) apply(ctx context.Context, c *ffcall.Call) (*ffcall.Reply, error) {
	timer := time.NewTimer(s.delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return nil, &ffcall.Error{Op: "fake", Kind: ffcall.KindCancelled, Err: context.Cause(ctx)}
	}
	if s.err != nil {
		return nil, s.err
	}
	return &ffcall.Reply{Status: 200, Body: []byte(c.ID)}, nil
}

func (g *fakeGates) runCount() int {
	n := 0
	for _, a := range g.attempts {
		if a.runs {
			n++
		}
	}
	return n
}

// Do implements ffentry.Gate.
func (g *fakeGates) Do(ctx context.Context, c *ffcall.Call) (*ffcall.Reply, error) {
	return g.attempt(ctx, ownVM, c)
}

// Mint implements ffentry.Gate.
func (*fakeGates) Mint(string, string) (string, error) { return "", merry.New("not supported") }

// fakeRemote implements ffentry.RemoteGates with the other gates of fakeGates.
type fakeRemote struct{ *fakeGates }

// Do implements ffentry.RemoteGates.
func (r fakeRemote) Do(ctx context.Context, vm ffmember.VM, c *ffcall.Call) (*ffcall.Reply, error) {
	return r.attempt(ctx, vm.Name, c)
}

// Mint implements ffentry.RemoteGates.
func (fakeRemote) Mint(context.Context, ffmember.VM, string, string) (string, error) {
	return "", ffcall.Refuse("fake", ffcall.KindUnreachable, merry.New("unreachable"))
}

// inOrderChooser chooses the first VM that is not excluded.
type inOrderChooser struct{}

func (inOrderChooser) Choose(_ string, _ ffconfig.Class, _ time.Time, view []ffmember.VM, exclude ...string) (ffmember.VM, error) {
	for _, vm := range view {
		if !slices.Contains(exclude, vm.Name) {
			return vm, nil
		}
	}
	return ffmember.VM{}, merry.New("no target is left")
}

func (inOrderChooser) Started(string, ffconfig.Class, time.Time) {}

func (inOrderChooser) Finished(string, time.Time, ffbalance.Result) {}

// staticMembers provides a view that does not change.
type staticMembers struct{ view *ffmember.View }

func (f staticMembers) View() *ffmember.View { return f.view }

func membersOf(names ...string) staticMembers {
	vms := make([]ffmember.VM, len(names))
	for i, name := range names {
		vms[i] = ffmember.VM{Name: name, DataCentre: "khan-uul", Service: "ledger"}
	}
	return staticMembers{(&ffmember.View{}).WithList(ffmember.NewList(1, vms))}
}

// unlimitedLimiter admits every call.
type unlimitedLimiter struct{}

func (unlimitedLimiter) Acquire(context.Context, *ffconfig.Contract, func() time.Time) (fflimit.Permit, *ffcall.Error) {
	return fflimit.Permit{}, nil
}

func newEntry(g *fakeGates, vms ...string) *ffentry.Entry {
	return &ffentry.Entry{
		Self: ownVM, Members: membersOf(vms...), Limiter: unlimitedLimiter{}, Chooser: inOrderChooser{},
		Retry: &ffretry.Policy{Rand: func() float64 { return maxJitter }}, Gate: g, Remote: fakeRemote{g},
	}
}

// routeOf returns a route of the service "ledger".
func routeOf(name string, idempotent bool) *ffconfig.Route {
	return &ffconfig.Route{Name: name, Method: "POST", Path: "/" + name, Service: "ledger", Idempotent: idempotent, TimeoutMillis: 1000}
}
