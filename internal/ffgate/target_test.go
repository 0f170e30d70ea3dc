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

// steps is the number of operations in one run of a state machine, and checks
// the number of runs.
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

// snapshot serves one configuration, which tests may replace.
type snapshot struct{ current *ffconfig.Snapshot }

func (s *snapshot) Current() *ffconfig.Snapshot { return s.current }

// newSnapshot returns a version with short, long and not idempotent routes to
// the service "ledger" and one route to another.
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
		r := routeOf(name)
		add(ffconfig.PieceRoute, name, r)
	}
	s, err := ffconfig.NewSnapshot(m, ffconfig.Version{Number: number}, content)
	if err != nil {
		panic(err)
	}
	return s
}

var allRoutes = []string{"lookup", "deposit", "photos", "elsewhere"}

func routeOf(name string) *ffconfig.Route {
	r := &ffconfig.Route{Name: name, Method: "POST", Path: "/" + name, Service: "ledger", Resource: "r", TimeoutMillis: 1000, Idempotent: name != "deposit"}
	if name == "photos" {
		r.Class = ffconfig.ClassLong
	}
	if name == "elsewhere" {
		r.Service = "other"
	}
	return r
}

// fakeTarget records every call that it runs and answers when the test says so.
type fakeTarget struct {
	mu      sync.Mutex
	now     func() time.Time
	ran     []*ffcall.Call
	running []*running
	faults  []string
}

type running struct {
	call *ffcall.Call
	end  chan error
}

// Errors by which a target says that a call did not run.
var (
	errShed        = ffcall.Refuse("target", ffcall.KindOverload, merry.New("shed"))
	errLate        = ffcall.Refuse("target", ffcall.KindDeadline, merry.New("too late for the first byte"))
	errUnreachable = ffcall.Refuse("target", ffcall.KindUnreachable, merry.New("no connection"))
)

// Do implements ffgate.Target. A call that ends as not run leaves the record.
func (f *fakeTarget) Do(ctx context.Context, c *ffcall.Call) (*ffcall.Reply, error) {
	x := f.begin(c)
	var err error
	select {
	case err = <-x.end:
	case <-ctx.Done():
		err = context.Cause(ctx)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running = slices.DeleteFunc(f.running, func(o *running) bool { return o == x })
	if ffcall.OutcomeOf(err) == ffcall.OutcomeNotRun {
		f.ran = slices.DeleteFunc(f.ran, func(o *ffcall.Call) bool { return o == c })
	}
	if err != nil {
		return nil, err
	}
	return &ffcall.Reply{Status: 200, Body: []byte(answerTo(c))}, nil
}

func answerTo(c *ffcall.Call) string { return fmt.Sprintf("answer to %s %s", c.ID, c.Body) }

func (f *fakeTarget) begin(c *ffcall.Call) *running {
	f.mu.Lock()
	defer f.mu.Unlock()
	x := &running{call: c, end: make(chan error, 1)}
	f.ran = append(f.ran, c)
	f.running = append(f.running, x)
	long := 0
	for _, o := range f.running {
		long += int(o.call.Route.Class)
	}
	if len(f.running) > slots || long > longSlots {
		f.faults = append(f.faults, fmt.Sprintf("%d calls run, %d of them long", len(f.running), long))
	}
	if now := f.now(); !now.Before(c.Deadline) {
		f.faults = append(f.faults, fmt.Sprintf("call %s came %v after its deadline", c.ID, now.Sub(c.Deadline)))
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

func (f *fakeTarget) snapshot() []*running {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.running)
}

func (f *fakeTarget) ids() string {
	var ids []string
	for _, x := range f.snapshot() {
		ids = append(ids, x.call.ID)
	}
	slices.Sort(ids)
	return cmp.Or(strings.Join(ids, " "), "none")
}
