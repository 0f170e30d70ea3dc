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

// Limits on stored outcomes: with fewRecords some are evicted before they expire.
const (
	fewRecords  = 16
	manyRecords = 10_000
)

// maxMessageDelay is the time after a deadline during which a copy of a message may
// still arrive.
const maxMessageDelay = 10 * time.Second

// sentCall is one attempt sent by an entry, with its result.
type sentCall struct {
	call        *ffcall.Call
	incarnation uint64
	// deadline is that of the first copy of the attempt.
	deadline time.Time
	cancel   context.CancelFunc
	returned bool
	reply    *ffcall.Reply
	err      error
}

// run sends the attempt to the gate and stores the result.
func (s *sentCall) run(ctx context.Context, g *ffgate.Gate) {
	s.reply, s.err = g.Do(ctx, s.call)
	s.returned = true
}

// harness drives one target through successive incarnations of its gate. The results
// are checked against the calls that the target has run.
type harness struct {
	target *fakeTarget
	// targets holds the targets of all incarnations.
	targets     []*fakeTarget
	gate        *ffgate.Gate
	clock       clock
	incarnation uint64
	// maxRecords bounds the outcomes that the gate stores.
	maxRecords int
	nextID     int
	sentCalls  []*sentCall
	tokens     []string
}

func (h *harness) restart() {
	for _, s := range h.sentCalls {
		s.cancel()
	}
	synctest.Wait()
	h.incarnation++
	issuer, err := fftoken.NewIssuer("vm", h.incarnation, h.clock.peek(), rand.NewChaCha8([32]byte{byte(h.incarnation)}))
	if err != nil {
		panic(err)
	}
	h.target = &fakeTarget{now: h.clock.peek, ran: h.target.ran}
	h.targets = append(h.targets, h.target)
	h.gate = &ffgate.Gate{
		VM: "vm", Incarnation: h.incarnation, Service: "ledger", Target: h.target, Issuer: issuer, Now: h.clock.now,
		Snapshots: &snapshotSource{newSnapshot(1, allRoutes...)}, MaxRecords: h.maxRecords, MaxBytes: 200,
	}
}

func (h *harness) send(c *ffcall.Call, deadline time.Time) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &sentCall{call: c, incarnation: h.incarnation, deadline: deadline, cancel: cancel}
	h.sentCalls = append(h.sentCalls, s)
	go s.run(ctx, h.gate)
}

// sameOperation returns a function that reports whether a call requests the same
// operation as c.
func sameOperation(c *ffcall.Call) func(*ffcall.Call) bool {
	if c.Token == "" {
		return func(o *ffcall.Call) bool { return o.ID == c.ID && o.Customer == c.Customer }
	}
	return func(o *ffcall.Call) bool { return o.Token == c.Token && string(o.Body) == string(c.Body) }
}

func (h *harness) newCall(t *rapid.T) *ffcall.Call {
	h.nextID++
	route := rapid.SampledFrom([]string{"lookup", "deposit", "deposit", "photos", "elsewhere"}).Draw(t, "route")
	c := &ffcall.Call{
		ID: fmt.Sprint(h.nextID), Customer: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "customer"), Share: 1,
		Route: newRoute(route), Method: "POST", Path: "/" + route, Body: []byte("x"),
		Deadline: h.clock.peek().Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "timeout")) * time.Millisecond),
	}
	if route == "deposit" && len(h.tokens) > 0 && rapid.IntRange(0, 3).Draw(t, "withToken") > 0 {
		c.Customer = "a"
		c.Token = h.tokens[max(0, len(h.tokens)-1-rapid.IntRange(0, 2).Draw(t, "token"))]
		c.Body = []byte(rapid.SampledFrom([]string{"x", "x", "x", "y"}).Draw(t, "body"))
	}
	return c
}

// check compares the results of all attempts with the calls that the target has run.
func (h *harness) check(t *rapid.T) {
	for _, violation := range h.target.violations {
		t.Fatal(violation)
	}
	for _, c := range h.target.ran {
		if c.Route.Idempotent && h.maxRecords == fewRecords {
			continue
		}
		if n := h.target.count(sameOperation(c)); n > 1 {
			t.Fatalf("call %s with token %q ran %d times", c.ID, c.Token, n)
		}
	}
	for _, s := range h.sentCalls {
		if !s.returned {
			continue
		}
		if s.err == nil && h.target.count(func(o *ffcall.Call) bool {
			return sameOperation(s.call)(o) && string(s.reply.Body) == replyBody(o)
		}) == 0 {
			t.Fatalf("call %s got the answer %q, which is not its own", s.call.ID, s.reply.Body)
		}
		if ffcall.OutcomeOf(s.err) == ffcall.OutcomeNotRun {
			h.checkNotRun(t, s.call, s.err)
		}
	}
	if load := h.gate.Load(); load.QueuedShort > 0 && load.FreeSlots > 0 {
		t.Fatalf("short calls wait although slots are free: %+v", load)
	}
}

// checkNotRun checks that a call refused as not run did not run. With fewRecords it
// checks nothing: a copy that arrives after the refusal was evicted counts as a new
// call. With a token the check covers every attempt, because one that an entry has
// abandoned may arrive after another one was refused. The refusal of an attempt that
// was never received (KindNoResponse) applies to this attempt only.
func (h *harness) checkNotRun(t *rapid.T, c *ffcall.Call, err error) {
	if h.maxRecords == fewRecords {
		return
	}
	matches := sameOperation(c)
	if ffcall.KindOf(err) == ffcall.KindNoResponse {
		matches = func(o *ffcall.Call) bool { return o.ID == c.ID && o.Customer == c.Customer }
	}
	if h.target.count(matches) > 0 {
		t.Fatalf("call %s was refused as not run, but ran: %+v", c.ID, *c)
	}
}

func (h *harness) endRandomCall(t *rapid.T, err error) {
	if running := h.target.runningCalls(); len(running) > 0 {
		rapid.SampledFrom(running).Draw(t, "running").end <- err
	}
}

// finish cancels every attempt and ends all running calls.
func (h *harness) finish() {
	h.clock.runBeforeRead(0, nil)
	for _, s := range h.sentCalls {
		s.cancel()
	}
	synctest.Wait()
	for _, target := range h.targets {
		for _, x := range target.runningCalls() {
			x.end <- nil
		}
	}
	synctest.Wait()
}

func (h *harness) sleep(d time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	<-ctx.Done()
}

// pickSent returns a random earlier attempt; nil if there is none.
func (h *harness) pickSent(t *rapid.T) *sentCall {
	if len(h.sentCalls) == 0 {
		return nil
	}
	return rapid.SampledFrom(h.sentCalls).Draw(t, "sent")
}

// settle calls AwaitOutcome for an attempt without waiting for its end.
func (h *harness) settle(c *ffcall.Call) (*ffcall.Reply, error) {
	return h.gate.AwaitOutcome(context.Background(), c.ID, c.Customer, h.incarnation, time.Now())
}

// mayStillArrive reports whether a copy of the attempt's message may still arrive at
// this incarnation of the gate and be processed immediately.
func (h *harness) mayStillArrive(s *sentCall) bool {
	return s.incarnation == h.incarnation && h.clock.noEventPending() && h.clock.peek().Before(s.deadline.Add(maxMessageDelay))
}

func (h *harness) actions() map[string]func(*rapid.T) {
	call := func(t *rapid.T) {
		c := h.newCall(t)
		h.send(c, c.Deadline)
	}
	return map[string]func(*rapid.T){
		"call1": call, "call2": call, "call3": call,
		"duplicate": func(t *rapid.T) {
			if s := h.pickSent(t); s != nil && h.mayStillArrive(s) {
				duplicate := *s.call
				duplicate.Deadline = h.clock.peek().Add(time.Second)
				h.send(&duplicate, s.deadline)
			}
		},
		"mint": func(*rapid.T) {
			if token, err := h.gate.Mint("a", "deposit"); err == nil {
				h.tokens = append(h.tokens, token)
			}
		},
		"answer1":     func(t *rapid.T) { h.endRandomCall(t, nil) },
		"answer2":     func(t *rapid.T) { h.endRandomCall(t, nil) },
		"shed":        func(t *rapid.T) { h.endRandomCall(t, errShed) },
		"unreachable": func(t *rapid.T) { h.endRandomCall(t, errUnreachable) },
		"cut":         func(t *rapid.T) { h.endRandomCall(t, merry.New("the connection broke")) },
		"cancel": func(t *rapid.T) {
			if s := h.pickSent(t); s != nil {
				s.cancel()
			}
		},
		"lookUp": func(t *rapid.T) {
			s := h.pickSent(t)
			if s == nil || s.incarnation != h.incarnation {
				return
			}
			_, err := h.settle(s.call)
			// A result returned after the deadline is not valid.
			if ffcall.OutcomeOf(err) == ffcall.OutcomeNotRun && h.clock.peek().Before(s.deadline) {
				h.checkNotRun(t, s.call, err)
			}
		},
		"lookUpUnseen": func(t *rapid.T) {
			c := h.newCall(t)
			if _, err := h.settle(c); ffcall.OutcomeOf(err) == ffcall.OutcomeNotRun {
				h.sentCalls = append(h.sentCalls, &sentCall{call: c, incarnation: h.incarnation, deadline: c.Deadline, cancel: func() {}, returned: true, err: err})
			}
		},
		"wait": func(t *rapid.T) {
			h.sleep(time.Duration(rapid.IntRange(1, 400).Draw(t, "millis")) * time.Millisecond)
		},
		"later": func(t *rapid.T) {
			h.clock.advance(time.Duration(rapid.IntRange(1, 400).Draw(t, "seconds")) * time.Second)
		},
		"pause": func(t *rapid.T) {
			jump := time.Duration(rapid.IntRange(1, 900).Draw(t, "jump")) * time.Second
			h.clock.runBeforeRead(rapid.IntRange(1, 4).Draw(t, "readings"), func() { h.clock.advance(jump) })
		},
		"restart": func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "chance") == 0 {
				h.restart()
			}
		},
		"": func(t *rapid.T) {
			synctest.Wait()
			h.check(t)
		},
	}
}

// noDeadline hides the deadline of the test, which has no meaning in virtual time.
type noDeadline struct{ testing.TB }

// TestExecutionInvariants checks random sequences of duplicates, retries with a
// token, concurrent attempts, cancellations, evictions, pauses, restarts and target
// faults: no operation runs twice, no call reported as not run has run, every answer
// belongs to its own call, and no call reaches the target after its deadline.
func TestExecutionInvariants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadline{t}, func(t *rapid.T) {
			h := &harness{target: &fakeTarget{}, maxRecords: rapid.SampledFrom([]int{fewRecords, manyRecords}).Draw(t, "records")}
			h.restart()
			t.Repeat(h.actions())
			h.finish()
			h.check(t)
			if err := h.gate.Drain(context.Background()); err != nil {
				t.Fatal(err)
			}
		})
	})
}
