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

// link connects a client through a relay to a server with a fake gate.
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

func (l *link) setFault(t *testing.T, f ffrelay.Fault) {
	t.Helper()
	if err := l.relay.SetFault(f); err != nil {
		t.Fatal(err)
	}
}

// hold blocks later calls at the gate until the returned function is called.
func (l *link) hold(t *testing.T) func() {
	t.Helper()
	held := make(chan struct{})
	l.gate.hold = held
	release := sync.OnceFunc(func() { close(held) })
	t.Cleanup(release)
	return release
}

// warm makes a call, which leaves an idle connection in the pool.
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

func TestAnswerMatchesCall(t *testing.T) {
	l := newLink(t)
	wantAnswer(t, "1", l.client, l.vm)
	wantAnswer(t, "2", l.client, l.vm)
}

func TestRefusedConnectionDidNotRun(t *testing.T) {
	l := newLink(t)
	l.setFault(t, ffrelay.Fault{Kind: ffrelay.FaultCut})
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

// TestLateCallIsRefusedAfterLookUp: a call sent over a connection that does not
// respond is looked up, reported as not run, and refused when it arrives later.
func TestLateCallIsRefusedAfterLookUp(t *testing.T) {
	l := newLink(t)
	l.warm(t)
	l.setFault(t, ffrelay.Fault{Kind: ffrelay.FaultSilentOpen})
	call := newCall("late")
	_, err := l.client.Do(t.Context(), l.vm, call)
	wantOutcome(t, err, ffcall.OutcomeNotRun)
	late, err := l.server.Forward(t.Context(), ffforward.RequestOf(call, "entry", 1))
	if err != nil || ffcall.Outcome(late.GetOutcome()) != ffcall.OutcomeNotRun || l.gate.ran["late"] > 0 {
		t.Fatalf("response to the late call %v, error %v", late, err)
	}
	wantAnswer(t, "next", l.client, l.vm)
}

// TestAnswerLost: the target runs the call, but the connection fails before the
// response. The look-up must find the answer.
func TestAnswerLost(t *testing.T) {
	for name, f := range map[string]ffrelay.Fault{
		"silent": {Kind: ffrelay.FaultSilentOpen},
		"cut":    {Kind: ffrelay.FaultCut},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLink(t)
			f := &faultDuringCall{link: l, release: l.hold(t), fault: f, done: make(chan struct{})}
			go f.run()
			wantAnswer(t, "1", l.client, l.vm)
			<-f.done
			if l.gate.ran["1"] != 1 {
				t.Fatalf("the call ran %d times", l.gate.ran["1"])
			}
		})
	}
}

// faultDuringCall sets a relay fault while a call runs, clears it and lets the call
// end.
type faultDuringCall struct {
	link    *link
	release func()
	fault   ffrelay.Fault
	done    chan struct{}
}

func (f *faultDuringCall) run() {
	defer close(f.done)
	<-f.link.gate.started
	_ = f.link.relay.SetFault(f.fault)
	_ = f.link.relay.SetFault(ffrelay.Fault{})
	f.release()
}

// restartedServer fails attempts and passes look-ups to the next incarnation.
type restartedServer struct {
	*ffforward.Server
	next *ffforward.Server
}

// Forward fails without an answer.
func (restartedServer) Forward(context.Context, *ffprotocol.ForwardRequest) (*ffprotocol.ForwardResponse, error) {
	return nil, merry.New("the daemon stops")
}

// Outcome calls the next incarnation.
func (r restartedServer) Outcome(ctx context.Context, q *ffprotocol.OutcomeRequest) (*ffprotocol.OutcomeResponse, error) {
	return r.next.Outcome(ctx, q)
}

// TestRestartBetweenAttemptAndLookUp: a new incarnation has no record of the attempt,
// so the outcome is unknown.
func TestRestartBetweenAttemptAndLookUp(t *testing.T) {
	l := newLink(t)
	l.relayTo(t, restartedServer{Server: l.server, next: newServer(t, newGate(), 2)})
	_, err := l.client.Do(t.Context(), l.vm, newCall("1"))
	wantOutcome(t, err, ffcall.OutcomeUnknown)
}

// corruptingServer changes the answers to attempts, but not to look-ups.
type corruptingServer struct {
	*ffforward.Server
	change func(*ffprotocol.ForwardResponse)
}

// Forward runs the call and changes the answer.
func (w corruptingServer) Forward(ctx context.Context, r *ffprotocol.ForwardRequest) (*ffprotocol.ForwardResponse, error) {
	answer, err := w.Server.Forward(ctx, r)
	if err != nil {
		return nil, err
	}
	w.change(answer)
	return answer, nil
}

// otherAnswer returns a valid answer to another call.
func (l *link) otherAnswer(t *testing.T) *ffprotocol.ForwardResponse {
	t.Helper()
	answer, err := l.server.Forward(t.Context(), ffforward.RequestOf(newCall("other"), "entry", 1))
	if err != nil {
		t.Fatal(err)
	}
	return answer
}

// TestCrossedAnswerIsLookedUp: a valid answer to another call is rejected, and the
// call's own answer is looked up.
func TestCrossedAnswerIsLookedUp(t *testing.T) {
	l := newLink(t)
	other := l.otherAnswer(t)
	l.relayTo(t, corruptingServer{Server: l.server, change: func(r *ffprotocol.ForwardResponse) {
		proto.Reset(r)
		proto.Merge(r, other)
	}})
	wantAnswer(t, "1", l.client, l.vm)
}

// TestWrongAnswerIsLookedUp: an answer that is truncated, changed or for another call
// is rejected, and the call's own answer is looked up.
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
			l.relayTo(t, corruptingServer{Server: l.server, change: change})
			wantAnswer(t, "1", l.client, l.vm)
		})
	}
}

// flakyServer fails look-ups, but never maxLookUps in a row.
type flakyServer struct {
	*ffforward.Server
	lookUps atomic.Int64
	release func()
}

// Outcome fails twice, then reports a running call. After three rounds it releases
// the call.
func (f *flakyServer) Outcome(context.Context, *ffprotocol.OutcomeRequest) (*ffprotocol.OutcomeResponse, error) {
	n := f.lookUps.Add(1)
	if n == 9 {
		f.release()
	}
	if n%3 != 0 {
		return nil, merry.New("lost")
	}
	return &ffprotocol.OutcomeResponse{Running: true}, nil
}

// TestLongCallSurvivesFailedLookUps: a long call is not given up after failed
// look-ups that are not consecutive.
func TestLongCallSurvivesFailedLookUps(t *testing.T) {
	l := newLink(t)
	f := &flakyServer{Server: l.server}
	l.relayTo(t, f)
	f.release = l.hold(t)
	wantAnswer(t, "1", l.client, l.vm)
}

// TestMintOverSilentConnection: a token is requested over a new connection if the
// idle one does not respond.
func TestMintOverSilentConnection(t *testing.T) {
	l := newLink(t)
	l.warm(t)
	l.setFault(t, ffrelay.Fault{Kind: ffrelay.FaultSilentOpen})
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	token, err := l.client.Mint(ctx, l.vm, "crew", "lookup")
	if err != nil || token != "token" {
		t.Fatalf("token %q, error %v", token, err)
	}
}

// TestLookUpAfterDeadlineIsUnknown: after the deadline the gate may have removed the
// record of the attempt, so a look-up cannot prove that it did not run.
func TestLookUpAfterDeadlineIsUnknown(t *testing.T) {
	l := newLink(t)
	call := newCall("1")
	call.Deadline = time.Now().Add(-testTimeout)
	err := l.client.LookUp(t.Context(), l.vm, call, 1)
	wantOutcome(t, err, ffcall.OutcomeUnknown)
}

// TestDelayedRequestMissesDeadline: a request that arrives after its deadline does
// not run, whatever remaining time it states.
func TestDelayedRequestMissesDeadline(t *testing.T) {
	l := newLink(t)
	call := newCall("late")
	call.Deadline = time.Now().Add(shortLookUpDelay)
	delayed := ffforward.RequestOf(call, "entry", 1)
	awaitTime(call.Deadline)
	answer, err := l.server.Forward(t.Context(), delayed)
	if err != nil || ffcall.Kind(answer.GetRefusal()) != ffcall.KindDeadline || l.gate.ran["late"] > 0 {
		t.Fatalf("answer %v, error %v", answer, err)
	}
}

// awaitTime blocks until the given time.
func awaitTime(at time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), at)
	defer cancel()
	<-ctx.Done()
}
