package ffgate_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ansel1/merry/v2"
	"pgregory.net/rapid"

	_ "fireflyfall.dev/fireflyfall/internal/ffseed" // fixes the seed

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/internal/ffgate"
	"fireflyfall.dev/fireflyfall/internal/fftoken"
)

// Bounds on remembered outcomes: with the first some are forgotten early.
const (
	fewRecords  = 16
	manyRecords = 10_000
)

// transportMemory is the time after a deadline in which a copy of a message may come.
const transportMemory = 10 * time.Second

// sent is one attempt of an entry, with what it was told.
type sent struct {
	call *ffcall.Call
	life uint64
	// deadline is the one of the first copy of the attempt.
	deadline time.Time
	cancel   context.CancelFunc
	told     bool
	reply    *ffcall.Reply
	err      error
}

// run is the entry's end of one attempt.
func (s *sent) run(ctx context.Context, g *ffgate.Gate) {
	s.reply, s.err = g.Do(ctx, s.call)
	s.told = true
}

// machine drives one target through the lives of its gate. The target's record
// of executions is the judge.
type machine struct {
	target *fakeTarget
	// targets are those of all lives.
	targets []*fakeTarget
	gate    *ffgate.Gate
	clock   clock
	lives   uint64
	// records bounds the outcomes that the gate remembers.
	records int
	nextID  int
	sent    []*sent
	tokens  []string
}

func (m *machine) restart() {
	for _, s := range m.sent {
		s.cancel()
	}
	synctest.Wait()
	m.lives++
	issuer, err := fftoken.NewIssuer("vm", m.lives, m.clock.peek(), rand.NewChaCha8([32]byte{byte(m.lives)}))
	if err != nil {
		panic(err)
	}
	m.target = &fakeTarget{now: m.clock.peek, ran: m.target.ran}
	m.targets = append(m.targets, m.target)
	m.gate = &ffgate.Gate{
		VM: "vm", Incarnation: m.lives, Service: "ledger", Target: m.target, Issuer: issuer, Now: m.clock.now,
		Snapshots: &snapshot{newSnapshot(1, allRoutes...)}, MaxRecords: m.records, MaxBytes: 200,
	}
}

func (m *machine) send(c *ffcall.Call, deadline time.Time) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &sent{call: c, life: m.lives, deadline: deadline, cancel: cancel}
	m.sent = append(m.sent, s)
	go s.run(ctx, m.gate)
}

// operation tells whether two calls ask for the same thing to be done.
func operation(c *ffcall.Call) func(*ffcall.Call) bool {
	if c.Token == "" {
		return func(o *ffcall.Call) bool { return o.ID == c.ID && o.Customer == c.Customer }
	}
	return func(o *ffcall.Call) bool { return o.Token == c.Token && string(o.Body) == string(c.Body) }
}

func (m *machine) newCall(t *rapid.T) *ffcall.Call {
	m.nextID++
	route := rapid.SampledFrom([]string{"lookup", "deposit", "deposit", "photos", "elsewhere"}).Draw(t, "route")
	c := &ffcall.Call{
		ID: fmt.Sprint(m.nextID), Customer: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "customer"), Share: 1,
		Route: routeOf(route), Method: "POST", Path: "/" + route, Body: []byte("x"),
		Deadline: m.clock.peek().Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "timeout")) * time.Millisecond),
	}
	if route == "deposit" && len(m.tokens) > 0 && rapid.IntRange(0, 3).Draw(t, "withToken") > 0 {
		c.Customer = "a"
		c.Token = m.tokens[max(0, len(m.tokens)-1-rapid.IntRange(0, 2).Draw(t, "token"))]
		c.Body = []byte(rapid.SampledFrom([]string{"x", "x", "x", "y"}).Draw(t, "body"))
	}
	return c
}

// check compares what the entries were told with the target's record.
func (m *machine) check(t *rapid.T) {
	for _, fault := range m.target.faults {
		t.Fatal(fault)
	}
	for _, c := range m.target.ran {
		if c.Route.Idempotent && m.records == fewRecords {
			continue
		}
		if n := m.target.count(operation(c)); n > 1 {
			t.Fatalf("call %s with token %q ran %d times", c.ID, c.Token, n)
		}
	}
	for _, s := range m.sent {
		if !s.told {
			continue
		}
		if s.err == nil && m.target.count(func(o *ffcall.Call) bool {
			return operation(s.call)(o) && string(s.reply.Body) == answerTo(o)
		}) == 0 {
			t.Fatalf("call %s got %q", s.call.ID, s.reply.Body)
		}
		if ffcall.OutcomeOf(s.err) == ffcall.OutcomeNotRun {
			m.checkNotRun(t, s.call, s.err)
		}
	}
	if load := m.gate.Load(); load.QueuedShort > 0 && load.FreeSlots > 0 {
		t.Fatalf("short work waits beside free slots: %+v", load)
	}
}

// checkNotRun holds while the refusal is remembered; a copy that comes after it
// was evicted counts as a new call. With a token it holds for every attempt: one
// that an entry gave up may still come after another was refused. That an
// attempt never came tells of this attempt alone.
func (m *machine) checkNotRun(t *rapid.T, c *ffcall.Call, err error) {
	if m.records == fewRecords {
		return
	}
	refused := operation(c)
	if ffcall.KindOf(err) == ffcall.KindSilent {
		refused = func(o *ffcall.Call) bool { return o.ID == c.ID && o.Customer == c.Customer }
	}
	if m.target.count(refused) > 0 {
		t.Fatalf("call %s was refused as not run and ran: %+v", c.ID, *c)
	}
}

func (m *machine) end(t *rapid.T, err error) {
	if running := m.target.snapshot(); len(running) > 0 {
		rapid.SampledFrom(running).Draw(t, "running").end <- err
	}
}

// finish cancels every attempt and lets every target end its calls.
func (m *machine) finish() {
	m.clock.before(0, nil)
	for _, s := range m.sent {
		s.cancel()
	}
	synctest.Wait()
	for _, target := range m.targets {
		for _, x := range target.snapshot() {
			x.end <- nil
		}
	}
	synctest.Wait()
}

func (m *machine) advance(d time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	<-ctx.Done()
}

// pick returns an attempt of before; nil when there is none.
func (m *machine) pick(t *rapid.T) *sent {
	if len(m.sent) == 0 {
		return nil
	}
	return rapid.SampledFrom(m.sent).Draw(t, "sent")
}

// settle looks an attempt up without waiting.
func (m *machine) settle(c *ffcall.Call) (*ffcall.Reply, error) {
	return m.gate.Settle(context.Background(), c.ID, c.Customer, m.lives, time.Now())
}

// inTransport reports whether a copy of the attempt's message may still come to
// this life of the gate and be read at once.
func (m *machine) inTransport(s *sent) bool {
	return s.life == m.lives && m.clock.calm() && m.clock.peek().Before(s.deadline.Add(transportMemory))
}

func (m *machine) actions() map[string]func(*rapid.T) {
	call := func(t *rapid.T) {
		c := m.newCall(t)
		m.send(c, c.Deadline)
	}
	return map[string]func(*rapid.T){
		"call1": call, "call2": call, "call3": call,
		"duplicate": func(t *rapid.T) {
			if s := m.pick(t); s != nil && m.inTransport(s) {
				again := *s.call
				again.Deadline = m.clock.peek().Add(time.Second)
				m.send(&again, s.deadline)
			}
		},
		"mint": func(*rapid.T) {
			if token, err := m.gate.Mint("a", "deposit"); err == nil {
				m.tokens = append(m.tokens, token)
			}
		},
		"answer1":     func(t *rapid.T) { m.end(t, nil) },
		"answer2":     func(t *rapid.T) { m.end(t, nil) },
		"shed":        func(t *rapid.T) { m.end(t, errShed) },
		"unreachable": func(t *rapid.T) { m.end(t, errUnreachable) },
		"cut":         func(t *rapid.T) { m.end(t, merry.New("the connection broke")) },
		"cancel": func(t *rapid.T) {
			if s := m.pick(t); s != nil {
				s.cancel()
			}
		},
		"lookUp": func(t *rapid.T) {
			s := m.pick(t)
			if s == nil || s.life != m.lives {
				return
			}
			_, err := m.settle(s.call)
			// An answer that comes after the deadline does not count.
			if ffcall.OutcomeOf(err) == ffcall.OutcomeNotRun && m.clock.peek().Before(s.deadline) {
				m.checkNotRun(t, s.call, err)
			}
		},
		"lookUpUnseen": func(t *rapid.T) {
			c := m.newCall(t)
			if _, err := m.settle(c); ffcall.OutcomeOf(err) == ffcall.OutcomeNotRun {
				m.sent = append(m.sent, &sent{call: c, life: m.lives, deadline: c.Deadline, cancel: func() {}, told: true, err: err})
			}
		},
		"wait": func(t *rapid.T) {
			m.advance(time.Duration(rapid.IntRange(1, 400).Draw(t, "millis")) * time.Millisecond)
		},
		"later": func(t *rapid.T) {
			m.clock.advance(time.Duration(rapid.IntRange(1, 400).Draw(t, "seconds")) * time.Second)
		},
		"pause": func(t *rapid.T) {
			jump := time.Duration(rapid.IntRange(1, 900).Draw(t, "jump")) * time.Second
			m.clock.before(rapid.IntRange(1, 4).Draw(t, "looks"), func() { m.clock.advance(jump) })
		},
		"restart": func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "chance") == 0 {
				m.restart()
			}
		},
		"": func(t *rapid.T) {
			synctest.Wait()
			m.check(t)
		},
	}
}

// noDeadline hides the test's deadline, which has no meaning in virtual time.
type noDeadline struct{ testing.TB }

// TestNothingRunsTwice holds for any mix of duplicates, retries with a token,
// concurrent attempts, cancellations, evictions, pauses, restarts and faults of
// the target: no operation runs twice, nothing told as not run ran, every answer
// is that of its own call, and no call comes to the target after its deadline.
func TestNothingRunsTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadline{t}, func(t *rapid.T) {
			m := &machine{target: &fakeTarget{}, records: rapid.SampledFrom([]int{fewRecords, manyRecords}).Draw(t, "records")}
			m.restart()
			t.Repeat(m.actions())
			m.finish()
			m.check(t)
			if err := m.gate.Drain(context.Background()); err != nil {
				t.Fatal(err)
			}
		})
	})
}
