package ffforward

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/internal/ffprotocol"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// Gate runs calls at the target on the daemon's VM; all calls pass through it.
type Gate interface {
	Do(ctx context.Context, c *ffcall.Call) (*ffcall.Reply, error)
	// AwaitOutcome waits for the result of an attempt until the given time. An attempt
	// that the gate has not received is reported as not run, and refused if it
	// arrives later.
	AwaitOutcome(ctx context.Context, callID, customer string, incarnation uint64, until time.Time) (*ffcall.Reply, error)
	Mint(customer, route string) (string, error)
	Load() ffcall.Load
}

// SnapshotSource provides the active configuration.
type SnapshotSource interface {
	Snapshot() *ffconfig.Snapshot
}

// VersionObserver receives the configuration versions that other daemons use.
type VersionObserver interface {
	ObserveVersion(vm string, v ffconfig.Version)
}

// Readiness reports whether the daemon may serve calls.
type Readiness interface {
	Ready() bool
}

// outcomeWait is how long a look-up waits for the end of a running attempt.
const outcomeWait = 200 * time.Millisecond

// Server receives calls from other daemons and passes them to the gate.
type Server struct {
	VM          string
	Incarnation uint64
	Gate        Gate
	Snapshots   SnapshotSource
	Readiness   Readiness
	Versions    VersionObserver
}

var _ ffprotocol.DRPCCallServiceServer = (*Server)(nil)

// Forward runs one attempt of a call.
func (s *Server) Forward(ctx context.Context, r *ffprotocol.ForwardRequest) (*ffprotocol.ForwardResponse, error) {
	c, err := s.accept(r)
	if err != nil {
		if r.GetToken() != "" {
			err = ffcall.WithOutcomeUnknown(err)
		}
		return s.refusal(r.GetCallId(), err), nil
	}
	reply, err := s.Gate.Do(ctx, c)
	if err != nil {
		return s.refusal(r.GetCallId(), err), nil
	}
	return responseOf(r.GetCallId(), reply), nil
}

// accept validates an attempt before it reaches the gate. An error concerns this
// attempt only: an earlier one with the same token may have run.
func (s *Server) accept(r *ffprotocol.ForwardRequest) (*ffcall.Call, error) {
	if requestChecksum(r) != r.GetChecksum() {
		// The call ID may be corrupted too, so the caller must look up the outcome.
		return nil, &ffcall.Error{Op: "forward", Kind: ffcall.KindTruncated, Err: merry.New("the request does not match its checksum")}
	}
	if r.GetIncarnation() != s.Incarnation {
		return nil, ffcall.Refuse("forward", ffcall.KindUnreachable, merry.New("the call is for another incarnation of this daemon"))
	}
	s.Versions.ObserveVersion(r.GetFrom(), ffconfig.Version{Number: r.GetVersionNumber(), Digest: ffconfig.Digest(r.GetVersionDigest())})
	if !s.Readiness.Ready() {
		return nil, ffcall.Refuse("forward", ffcall.KindNotReady, merry.New("the daemon does not know the latest version yet"))
	}
	return s.call(r, time.Now())
}

func (s *Server) call(r *ffprotocol.ForwardRequest, now time.Time) (*ffcall.Call, error) {
	snapshot := s.Snapshots.Snapshot()
	if snapshot == nil {
		return nil, ffcall.Refuse("forward", ffcall.KindNotReady, merry.New("no configuration is active"))
	}
	route, ok := snapshot.RouteByName(r.GetRoute())
	if !ok {
		return nil, ffcall.Refuse("forward", ffcall.KindVersion, merry.Errorf("version %s has no route %q", snapshot.Version(), r.GetRoute()))
	}
	if route.Idempotent != r.GetIdempotent() || route.Resource != r.GetResource() {
		return nil, ffcall.Refuse("forward", ffcall.KindVersion, merry.Errorf("version %s defines route %q differently", snapshot.Version(), r.GetRoute()))
	}
	contract, ok := snapshot.Contract(r.GetCustomer())
	if !ok || !contract.Allows(route.Name) {
		return nil, ffcall.Refuse("forward", ffcall.KindVersion, merry.Errorf("version %s does not allow route %q for customer %q", snapshot.Version(), r.GetRoute(), r.GetCustomer()))
	}
	return &ffcall.Call{
		ID:       r.GetCallId(),
		Customer: contract.Customer,
		Share:    contract.Share,
		Route:    route,
		Token:    r.GetToken(),
		Deadline: deadlineOf(r, now),
		Method:   r.GetMethod(),
		Path:     r.GetPath(),
		Header:   httpHeader(r.GetHeaders()),
		Body:     r.GetBody(),
		Version:  ffconfig.Version{Number: r.GetVersionNumber(), Digest: ffconfig.Digest(r.GetVersionDigest())},
	}, nil
}

// deadlineOf returns the earlier of two deadlines in r: the remaining time, counted
// from now, and the deadline on this daemon's clock. The remaining time alone would
// be too long after a delay by a suspended process or a stalled network.
func deadlineOf(r *ffprotocol.ForwardRequest, now time.Time) time.Time {
	relative := now.Add(time.Duration(r.GetRemainingMicros()) * time.Microsecond)
	if absolute := clockTime(r.GetDeadlineMicros()); absolute.Before(relative) {
		return absolute
	}
	return relative
}

func (s *Server) refusal(callID string, err error) *ffprotocol.ForwardResponse {
	var e *ffcall.Error
	if !errors.As(err, &e) {
		e = &ffcall.Error{Op: "forward", Kind: ffcall.KindUnknown, Err: err}
	}
	return refusalOf(callID, e, s.Gate.Load(), time.Now())
}

// Outcome returns the result of an attempt, or that it is still running.
func (s *Server) Outcome(ctx context.Context, r *ffprotocol.OutcomeRequest) (*ffprotocol.OutcomeResponse, error) {
	if r.GetIncarnation() != s.Incarnation {
		restarted := &ffcall.Error{Op: "outcome", Kind: ffcall.KindUnreachable, Err: merry.New("the daemon that received the attempt has restarted")}
		return &ffprotocol.OutcomeResponse{Response: s.refusal(r.GetCallId(), restarted)}, nil
	}
	until := time.Now().Add(outcomeWait)
	reply, err := s.Gate.AwaitOutcome(ctx, r.GetCallId(), r.GetCustomer(), s.Incarnation, until)
	switch {
	case err == nil:
		return &ffprotocol.OutcomeResponse{Response: responseOf(r.GetCallId(), reply)}, nil
	case ffcall.OutcomeOf(err) == ffcall.OutcomeUnknown && !time.Now().Before(until):
		return &ffprotocol.OutcomeResponse{Running: true}, nil
	}
	return &ffprotocol.OutcomeResponse{Response: s.refusal(r.GetCallId(), err)}, nil
}

// Hello returns the name, the incarnation and the clock of the daemon.
func (s *Server) Hello(context.Context, *ffprotocol.HelloRequest) (*ffprotocol.HelloResponse, error) {
	return &ffprotocol.HelloResponse{Vm: s.VM, Incarnation: s.Incarnation, ClockMicros: clockMicros(time.Now())}, nil
}

// Mint issues a token for a customer and a route.
func (s *Server) Mint(_ context.Context, r *ffprotocol.MintRequest) (*ffprotocol.MintResponse, error) {
	token, err := s.Gate.Mint(r.GetCustomer(), r.GetRoute())
	if err != nil {
		return &ffprotocol.MintResponse{Refusal: int32(ffcall.KindOf(err)), Reason: err.Error()}, nil
	}
	return &ffprotocol.MintResponse{Token: token}, nil
}
