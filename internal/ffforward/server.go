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

// Gate is the only way to the target beside the daemon.
type Gate interface {
	Do(ctx context.Context, c *ffcall.Call) (*ffcall.Reply, error)
	// Settle waits until the given time for what became of an attempt; an attempt
	// that never came is refused from then on.
	Settle(ctx context.Context, callID, customer string, incarnation uint64, until time.Time) (*ffcall.Reply, error)
	Mint(customer, route string) (string, error)
	Load() ffcall.Load
}

// Snapshots gives the configuration in force.
type Snapshots interface {
	Snapshot() *ffconfig.Snapshot
}

// Versions is told which versions other daemons have in force.
type Versions interface {
	Heard(vm string, v ffconfig.Version)
}

// Readiness tells whether the daemon may serve calls.
type Readiness interface {
	Ready() bool
}

// settleWait bounds the wait for the end of an attempt that is looked up.
const settleWait = 200 * time.Millisecond

// Server takes calls from other daemons and puts them to the gate.
type Server struct {
	VM          string
	Incarnation uint64
	Gate        Gate
	Snapshots   Snapshots
	Readiness   Readiness
	Versions    Versions
}

var _ ffprotocol.DRPCCallServiceServer = (*Server)(nil)

// Forward runs one attempt of a call.
func (s *Server) Forward(ctx context.Context, r *ffprotocol.ForwardRequest) (*ffprotocol.ForwardResponse, error) {
	c, err := s.accept(r)
	if err != nil {
		if r.GetToken() != "" {
			err = ffcall.Unproved(err)
		}
		return s.refusal(r.GetCallId(), err), nil
	}
	reply, err := s.Gate.Do(ctx, c)
	if err != nil {
		return s.refusal(r.GetCallId(), err), nil
	}
	return answerOf(r.GetCallId(), reply), nil
}

// accept checks an attempt before the gate sees it. Its refusals tell of this
// attempt alone.
func (s *Server) accept(r *ffprotocol.ForwardRequest) (*ffcall.Call, error) {
	if requestChecksum(r) != r.GetChecksum() {
		// Whose request it was is not known, so that a look-up must tell what became of it.
		return nil, &ffcall.Error{Op: "forward", Kind: ffcall.KindTruncated, Err: merry.New("the request does not match its checksum")}
	}
	if r.GetIncarnation() != s.Incarnation {
		return nil, ffcall.Refuse("forward", ffcall.KindUnreachable, merry.New("the call is meant for an earlier incarnation of this daemon"))
	}
	s.Versions.Heard(r.GetFrom(), ffconfig.Version{Number: r.GetVersionNumber(), Digest: ffconfig.Digest(r.GetVersionDigest())})
	if !s.Readiness.Ready() {
		return nil, ffcall.Refuse("forward", ffcall.KindNotReady, merry.New("the daemon has not learnt the greatest version yet"))
	}
	return s.call(r, time.Now())
}

func (s *Server) call(r *ffprotocol.ForwardRequest, now time.Time) (*ffcall.Call, error) {
	snapshot := s.Snapshots.Snapshot()
	if snapshot == nil {
		return nil, ffcall.Refuse("forward", ffcall.KindNotReady, merry.New("no version is in force"))
	}
	route, ok := snapshot.RouteByName(r.GetRoute())
	if !ok {
		return nil, ffcall.Refuse("forward", ffcall.KindVersion, merry.Errorf("version %s lacks route %q", snapshot.Version(), r.GetRoute()))
	}
	if route.Idempotent != r.GetIdempotent() || route.Resource != r.GetResource() {
		return nil, ffcall.Refuse("forward", ffcall.KindVersion, merry.Errorf("version %s has another route %q", snapshot.Version(), r.GetRoute()))
	}
	contract, ok := snapshot.Contract(r.GetCustomer())
	if !ok || !contract.Allows(route.Name) {
		return nil, ffcall.Refuse("forward", ffcall.KindVersion, merry.Errorf("version %s lacks route %q for customer %q", snapshot.Version(), r.GetRoute(), r.GetCustomer()))
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

// deadlineOf returns the deadline of a call. The time left counts from the
// arrival, which a frozen process or a stalled network puts off; the deadline on
// this daemon's clock stands.
func deadlineOf(r *ffprotocol.ForwardRequest, now time.Time) time.Time {
	left := now.Add(time.Duration(r.GetRemainingMicros()) * time.Microsecond)
	if fixed := clockTime(r.GetDeadlineMicros()); fixed.Before(left) {
		return fixed
	}
	return left
}

func (s *Server) refusal(callID string, err error) *ffprotocol.ForwardResponse {
	var e *ffcall.Error
	if !errors.As(err, &e) {
		e = &ffcall.Error{Op: "forward", Kind: ffcall.KindUnknown, Err: err}
	}
	return refusalOf(callID, e, s.Gate.Load(), time.Now())
}

// Outcome tells what became of an attempt.
func (s *Server) Outcome(ctx context.Context, r *ffprotocol.OutcomeRequest) (*ffprotocol.OutcomeResponse, error) {
	if r.GetIncarnation() != s.Incarnation {
		lost := &ffcall.Error{Op: "outcome", Kind: ffcall.KindUnreachable, Err: merry.New("the daemon that took the attempt has restarted")}
		return &ffprotocol.OutcomeResponse{Response: s.refusal(r.GetCallId(), lost)}, nil
	}
	until := time.Now().Add(settleWait)
	reply, err := s.Gate.Settle(ctx, r.GetCallId(), r.GetCustomer(), s.Incarnation, until)
	switch {
	case err == nil:
		return &ffprotocol.OutcomeResponse{Response: answerOf(r.GetCallId(), reply)}, nil
	case ffcall.OutcomeOf(err) == ffcall.OutcomeUnknown && !time.Now().Before(until):
		return &ffprotocol.OutcomeResponse{Running: true}, nil
	}
	return &ffprotocol.OutcomeResponse{Response: s.refusal(r.GetCallId(), err)}, nil
}

// Hello names the daemon.
func (s *Server) Hello(context.Context, *ffprotocol.HelloRequest) (*ffprotocol.HelloResponse, error) {
	return &ffprotocol.HelloResponse{Vm: s.VM, Incarnation: s.Incarnation, ClockMicros: clockMicros(time.Now())}, nil
}

// Mint issues a token.
func (s *Server) Mint(_ context.Context, r *ffprotocol.MintRequest) (*ffprotocol.MintResponse, error) {
	token, err := s.Gate.Mint(r.GetCustomer(), r.GetRoute())
	if err != nil {
		return &ffprotocol.MintResponse{Refusal: int32(ffcall.KindOf(err)), Reason: err.Error()}, nil
	}
	return &ffprotocol.MintResponse{Token: token}, nil
}
