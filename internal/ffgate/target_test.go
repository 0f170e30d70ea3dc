package ffgate_test

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/goleak"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// steps is the number of operations in each run of a rapid state machine test,
// and checks the number of runs.
const (
	steps  = "200"
	checks = "200"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.steps": steps, "rapid.checks": checks} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}

const (
	slots       = 3
	longSlots   = 2
	queueLength = 4
)

// snapshotSource provides one configuration, which tests may replace.
type snapshotSource struct{ current *ffconfig.Snapshot }

func (s *snapshotSource) Current() *ffconfig.Snapshot { return s.current }

// newSnapshot returns a snapshot with the services "ledger" and "other" and the named
// routes (see allRoutes).
func newSnapshot(number uint64, names ...string) *ffconfig.Snapshot {
	m, content := ffconfig.Manifest{Number: number}, make(map[ffconfig.Digest][]byte)
	add := func(kind ffconfig.PieceKind, name string, v any) {
		p, c, err := ffconfig.EncodePiece(kind, name, v)
		if err != nil {
			panic(err)
		}
		m.Pieces = append(m.Pieces, p)
		content[p.Digest] = c
	}
	for _, s := range []string{"ledger", "other"} {
		add(ffconfig.PieceService, s, ffconfig.Service{Name: s, Resources: []string{"r"}, Slots: slots, LongSlots: longSlots, Connections: 9, QueueLength: queueLength})
	}
	for _, name := range names {
		r := newRoute(name)
		add(ffconfig.PieceRoute, name, r)
	}
	s, err := ffconfig.NewSnapshot(m, ffconfig.Version{Number: number}, content)
	if err != nil {
		panic(err)
	}
	return s
}

// allRoutes are routes of short and long calls to "ledger", one of which (deposit) is
// not idempotent, and a route to "other" (elsewhere).
var allRoutes = []string{"lookup", "deposit", "photos", "elsewhere"}

func newRoute(name string) *ffconfig.Route {
	r := &ffconfig.Route{Name: name, Method: "POST", Path: "/" + name, Service: "ledger", Resource: "r", TimeoutMillis: 1000, Idempotent: name != "deposit"}
	if name == "photos" {
		r.Class = ffconfig.ClassLong
	}
	if name == "elsewhere" {
		r.Service = "other"
	}
	return r
}

// fakeTarget records the calls that it runs, and ends a call when the test sends to
// its end channel.
type fakeTarget struct {
	mu         sync.Mutex
	now        func() time.Time
	ran        []*ffcall.Call
	running    []*runningCall
	violations []string
}

type runningCall struct {
	call *ffcall.Call
	end  chan error
}

// Errors that a target returns for a call that did not run.
var (
	errShed        = ffcall.Refuse("target", ffcall.KindOverload, merry.New("shed"))
	errLate        = ffcall.Refuse("target", ffcall.KindDeadline, merry.New("too late for the first byte"))
	errUnreachable = ffcall.Refuse("target", ffcall.KindUnreachable, merry.New("no connection"))
)

// Do implements ffgate.Target. A call that ends as not run is removed from ran.
func (f *fakeTarget) Do(ctx context.Context, c *ffcall.Call) (*ffcall.Reply, error) {
	x := f.startCall(c)
	var err error
	select {
	case err = <-x.end:
	case <-ctx.Done():
		err = context.Cause(ctx)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running = slices.DeleteFunc(f.running, func(o *runningCall) bool { return o == x })
	if ffcall.OutcomeOf(err) == ffcall.OutcomeNotRun {
		f.ran = slices.DeleteFunc(f.ran, func(o *ffcall.Call) bool { return o == c })
	}
	if err != nil {
		return nil, err
	}
	return &ffcall.Reply{Status: 200, Body: []byte(replyBody(c))}, nil
}

func replyBody(c *ffcall.Call) string { return fmt.Sprintf("answer to %s %s", c.ID, c.Body) }

func (f *fakeTarget) startCall(c *ffcall.Call) *runningCall {
	f.mu.Lock()
	defer f.mu.Unlock()
	x := &runningCall{call: c, end: make(chan error, 1)}
	f.ran = append(f.ran, c)
	f.running = append(f.running, x)
	long := 0
	for _, o := range f.running {
		long += int(o.call.Route.Class)
	}
	if len(f.running) > slots || long > longSlots {
		f.violations = append(f.violations, fmt.Sprintf("%d calls run, %d of them long", len(f.running), long))
	}
	if now := f.now(); !now.Before(c.Deadline) {
		f.violations = append(f.violations, fmt.Sprintf("call %s arrived %v after its deadline", c.ID, now.Sub(c.Deadline)))
	}
	return x
}

// count returns how often the target ran a call that matches.
func (f *fakeTarget) count(match func(*ffcall.Call) bool) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, c := range f.ran {
		if match(c) {
			n++
		}
	}
	return n
}

func (f *fakeTarget) runningCalls() []*runningCall {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.running)
}

func (f *fakeTarget) runningIDs() string {
	var ids []string
	for _, x := range f.runningCalls() {
		ids = append(ids, x.call.ID)
	}
	slices.Sort(ids)
	return cmp.Or(strings.Join(ids, " "), "none")
}
