package ffforward

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

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

// settleWait bounds the wait for the end of an attempt that is looked up.
const settleWait = 200 * time.Millisecond

// Server takes calls from other daemons and puts them to the gate.
type Server struct {
	VM          string
	Incarnation uint64
	Gate        Gate
	Snapshots   Snapshots
}

var _ ffprotocol.DRPCCallServiceServer = (*Server)(nil)

// Forward runs one attempt of a call.
func (s *Server) Forward(ctx context.Context, r *ffprotocol.ForwardRequest) (*ffprotocol.ForwardResponse, error) {
	reply, err := s.forward(ctx, r)
	if err != nil {
		return s.refusal(r.GetCallId(), err), nil
	}
	return answerOf(r.GetCallId(), reply), nil
}

func (s *Server) forward(ctx context.Context, r *ffprotocol.ForwardRequest) (*ffcall.Reply, error) {
	if r.GetIncarnation() != s.Incarnation {
		return nil, ffcall.Refuse("forward", ffcall.KindUnreachable, merry.New("the call is meant for an earlier incarnation of this daemon"))
	}
	if xxhash.Sum64(r.GetBody()) != r.GetBodyChecksum() {
		return nil, ffcall.Refuse("forward", ffcall.KindTruncated, merry.New("the request's body does not match its checksum"))
	}
	c, err := s.call(r, time.Now())
	if err != nil {
		return nil, err
	}
	return s.Gate.Do(ctx, c)
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
		Deadline: now.Add(time.Duration(r.GetRemainingMicros()) * time.Microsecond),
		Method:   r.GetMethod(),
		Path:     r.GetPath(),
		Header:   httpHeader(r.GetHeaders()),
		Body:     r.GetBody(),
		Version:  ffconfig.Version{Number: r.GetVersionNumber(), Digest: ffconfig.Digest(r.GetVersionDigest())},
	}, nil
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
	return &ffprotocol.HelloResponse{Vm: s.VM, Incarnation: s.Incarnation}, nil
}

// Mint issues a token.
func (s *Server) Mint(_ context.Context, r *ffprotocol.MintRequest) (*ffprotocol.MintResponse, error) {
	token, err := s.Gate.Mint(r.GetCustomer(), r.GetRoute())
	if err != nil {
		return &ffprotocol.MintResponse{Refusal: int32(ffcall.KindOf(err)), Reason: err.Error()}, nil
	}
	return &ffprotocol.MintResponse{Token: token}, nil
}
