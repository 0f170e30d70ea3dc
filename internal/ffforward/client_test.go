package ffforward_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/internal/ffforward"
	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffprotocol"
	"fireflyfall.dev/fireflyfall/internal/ffrelay"
)

// link is a client, a relay and a gate behind it.
type link struct {
	client *ffforward.Client
	gate   *fakeGate
	server *ffforward.Server
	relay  *ffrelay.Relay
	vm     ffmember.VM
}

func newLink(t *testing.T) *link {
	t.Helper()
	l := &link{client: newClient(t), gate: newGate()}
	l.server = newServer(t, l.gate, 1)
	l.relayTo(t, l.server)
	return l
}

func (l *link) relayTo(t *testing.T, handler ffprotocol.DRPCCallServiceServer) {
	t.Helper()
	d := serve(t, "127.0.0.1:0", handler)
	relay, err := ffrelay.New("127.0.0.1:0", d.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(relay.Close)
	l.relay, l.vm = relay, vmAt(relay.Address())
}

func (l *link) fault(t *testing.T, f ffrelay.Fault) {
	t.Helper()
	if err := l.relay.SetFault(f); err != nil {
		t.Fatal(err)
	}
}

// hold keeps the calls that come from now on until the returned function is called.
func (l *link) hold(t *testing.T) func() {
	t.Helper()
	held := make(chan struct{})
	l.gate.hold = held
	release := sync.OnceFunc(func() { close(held) })
	t.Cleanup(release)
	return release
}

// warm leaves an idle connection in the pool.
func (l *link) warm(t *testing.T) {
	t.Helper()
	wantAnswer(t, "warm", l.client, l.vm)
	<-l.gate.started
}

func wantAnswer(t *testing.T, id string, c *ffforward.Client, vm ffmember.VM) {
	t.Helper()
	reply, err := c.Do(t.Context(), vm, newCall(id))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(answerTo(id), reply); diff != "" {
		t.Fatal(diff)
	}
}

func wantOutcome(t *testing.T, err error, outcome ffcall.Outcome) {
	t.Helper()
	if err == nil || ffcall.OutcomeOf(err) != outcome {
		t.Fatalf("error %v, want outcome %s", err, outcome)
	}
}

func TestAnswerIsWholeAndOwn(t *testing.T) {
	l := newLink(t)
	wantAnswer(t, "1", l.client, l.vm)
	wantAnswer(t, "2", l.client, l.vm)
}

func TestRefusedConnectionDidNotRun(t *testing.T) {
	l := newLink(t)
	l.fault(t, ffrelay.Fault{Kind: ffrelay.FaultCut})
	_, err := l.client.Do(t.Context(), l.vm, newCall("1"))
	wantOutcome(t, err, ffcall.OutcomeNotRun)
}

func TestOtherVMAtTheAddressDidNotRun(t *testing.T) {
	l := newLink(t)
	l.vm.Name = "ledger-2"
	_, err := l.client.Do(t.Context(), l.vm, newCall("1"))
	wantOutcome(t, err, ffcall.OutcomeNotRun)
	if len(l.gate.ran) > 0 {
		t.Fatal("the call ran at another VM")
	}
}

// TestSilentBeforeArrival: a call that went into a dead connection is barred, so
// that it does not run when it arrives late.
func TestSilentBeforeArrival(t *testing.T) {
	l := newLink(t)
	l.warm(t)
	l.fault(t, ffrelay.Fault{Kind: ffrelay.FaultSilentOpen})
	call := newCall("late")
	_, err := l.client.Do(t.Context(), l.vm, call)
	wantOutcome(t, err, ffcall.OutcomeNotRun)
	late, err := l.server.Forward(t.Context(), ffforward.RequestOf(call, "entry", 1))
	if err != nil || ffcall.Outcome(late.GetOutcome()) != ffcall.OutcomeNotRun || l.gate.ran["late"] > 0 {
		t.Fatalf("the late call came to %v, error %v", late, err)
	}
	wantAnswer(t, "next", l.client, l.vm)
}

// TestAnswerLost: the target ran the call, the connection carries no answer.
func TestAnswerLost(t *testing.T) {
	for name, f := range map[string]ffrelay.Fault{
		"silent": {Kind: ffrelay.FaultSilentOpen},
		"cut":    {Kind: ffrelay.FaultCut},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLink(t)
			f := &fault{link: l, release: l.hold(t), fault: f, done: make(chan struct{})}
			go f.run()
			wantAnswer(t, "1", l.client, l.vm)
			<-f.done
			if l.gate.ran["1"] != 1 {
				t.Fatalf("the call ran %d times", l.gate.ran["1"])
			}
		})
	}
}

// fault breaks the connection while a call runs, and then lets the call end.
type fault struct {
	link    *link
	release func()
	fault   ffrelay.Fault
	done    chan struct{}
}

func (f *fault) run() {
	defer close(f.done)
	<-f.link.gate.started
	_ = f.link.relay.SetFault(f.fault)
	_ = f.link.relay.SetFault(ffrelay.Fault{})
	f.release()
}

// restarting answers look-ups as a daemon that has restarted since the attempt.
type restarting struct {
	*ffforward.Server
	next *ffforward.Server
}

// Forward loses the answer.
func (restarting) Forward(context.Context, *ffprotocol.ForwardRequest) (*ffprotocol.ForwardResponse, error) {
	return nil, merry.New("the daemon dies")
}

// Outcome is asked of the next incarnation.
func (r restarting) Outcome(ctx context.Context, q *ffprotocol.OutcomeRequest) (*ffprotocol.OutcomeResponse, error) {
	return r.next.Outcome(ctx, q)
}

// TestRestartBetweenAttemptAndLookUp: a new incarnation knows nothing of the attempt.
func TestRestartBetweenAttemptAndLookUp(t *testing.T) {
	l := newLink(t)
	l.relayTo(t, restarting{Server: l.server, next: newServer(t, newGate(), 2)})
	_, err := l.client.Do(t.Context(), l.vm, newCall("1"))
	wantOutcome(t, err, ffcall.OutcomeUnknown)
}

// wrong answers an attempt wrongly; look-ups tell the truth.
type wrong struct {
	*ffforward.Server
	change func(*ffprotocol.ForwardResponse)
}

// Forward runs the call and changes the answer.
func (w wrong) Forward(ctx context.Context, r *ffprotocol.ForwardRequest) (*ffprotocol.ForwardResponse, error) {
	answer, err := w.Server.Forward(ctx, r)
	if err != nil {
		return nil, err
	}
	w.change(answer)
	return answer, nil
}

// otherAnswer is the whole answer to another call.
func (l *link) otherAnswer(t *testing.T) *ffprotocol.ForwardResponse {
	t.Helper()
	answer, err := l.server.Forward(t.Context(), ffforward.RequestOf(newCall("other"), "entry", 1))
	if err != nil {
		t.Fatal(err)
	}
	return answer
}

// TestCrossedAnswerIsLookedUp: the whole answer to another call is not passed on.
func TestCrossedAnswerIsLookedUp(t *testing.T) {
	l := newLink(t)
	other := l.otherAnswer(t)
	l.relayTo(t, wrong{Server: l.server, change: func(r *ffprotocol.ForwardResponse) {
		proto.Reset(r)
		proto.Merge(r, other)
	}})
	wantAnswer(t, "1", l.client, l.vm)
}

// TestWrongAnswerIsLookedUp: an answer that is cut, changed or another call's is
// not passed on, and the call's own is found.
func TestWrongAnswerIsLookedUp(t *testing.T) {
	for name, change := range map[string]func(*ffprotocol.ForwardResponse){
		"call ID":   func(r *ffprotocol.ForwardResponse) { r.CallId = "another" },
		"truncated": func(r *ffprotocol.ForwardResponse) { r.Body = r.Body[:4] },
		"header":    func(r *ffprotocol.ForwardResponse) { r.Headers[0].Value = "another" },
		"status":    func(r *ffprotocol.ForwardResponse) { r.Status = 404 },
		"refused": func(r *ffprotocol.ForwardResponse) {
			r.Refusal = int32(ffcall.KindOverload)
			r.Outcome = int32(ffcall.OutcomeNotRun)
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLink(t)
			l.relayTo(t, wrong{Server: l.server, change: change})
			wantAnswer(t, "1", l.client, l.vm)
		})
	}
}

// flaky loses look-ups, but never as many in a row as end the wait.
type flaky struct {
	*ffforward.Server
	asked   atomic.Int64
	release func()
}

// Outcome fails twice, then tells that the call runs; after three rounds the call ends.
func (f *flaky) Outcome(context.Context, *ffprotocol.OutcomeRequest) (*ffprotocol.OutcomeResponse, error) {
	n := f.asked.Add(1)
	if n == 9 {
		f.release()
	}
	if n%3 != 0 {
		return nil, merry.New("lost")
	}
	return &ffprotocol.OutcomeResponse{Running: true}, nil
}

// TestLongCallOutlivesLostLookUps: a photo batch is not given up because single
// look-ups were lost over its whole time.
func TestLongCallOutlivesLostLookUps(t *testing.T) {
	l := newLink(t)
	f := &flaky{Server: l.server}
	l.relayTo(t, f)
	f.release = l.hold(t)
	wantAnswer(t, "1", l.client, l.vm)
}

// TestMintOverSilentConnection: a token comes over a new connection when the
// idle one is dead.
func TestMintOverSilentConnection(t *testing.T) {
	l := newLink(t)
	l.warm(t)
	l.fault(t, ffrelay.Fault{Kind: ffrelay.FaultSilentOpen})
	ctx, cancel := context.WithTimeout(t.Context(), generous)
	defer cancel()
	token, err := l.client.Mint(ctx, l.vm, "crew", "lookup")
	if err != nil || token != "token" {
		t.Fatalf("token %q, error %v", token, err)
	}
}

// TestLookUpAfterTheDeadlineProvesNothing: by then the gate may have forgotten
// that the attempt ran.
func TestLookUpAfterTheDeadlineProvesNothing(t *testing.T) {
	l := newLink(t)
	call := newCall("1")
	call.Deadline = time.Now().Add(-generous)
	err := l.client.LookUp(t.Context(), l.vm, call, 1)
	wantOutcome(t, err, ffcall.OutcomeUnknown)
}

// TestRequestHeldBackIsLate: a request that arrives after its deadline does not
// run, however much time it says is left.
func TestRequestHeldBackIsLate(t *testing.T) {
	l := newLink(t)
	call := newCall("late")
	call.Deadline = time.Now().Add(shortSilence)
	held := ffforward.RequestOf(call, "entry", 1)
	awaitTime(call.Deadline)
	answer, err := l.server.Forward(t.Context(), held)
	if err != nil || ffcall.Kind(answer.GetRefusal()) != ffcall.KindDeadline || l.gate.ran["late"] > 0 {
		t.Fatalf("answer %v, error %v", answer, err)
	}
}

// awaitTime waits until a time has passed.
func awaitTime(at time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), at)
	defer cancel()
	<-ctx.Done()
}
