package ffentry

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/fftoken"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

const (
	// tokenRetryInterval is the time between attempts of a call with a token, which
	// only one gate may run.
	tokenRetryInterval = 50 * time.Millisecond
	// mintAttempts limits the targets that are asked for a token.
	mintAttempts = 3
)

// serveWithToken executes a call with a token at the only gate that may run it.
// Only that gate can prove that the call did not run.
func (e *Entry) serveWithToken(ctx context.Context, call *ffcall.Call) (*ffcall.Reply, error) {
	claims, err := fftoken.Parse(call.Token)
	if err != nil {
		return nil, &ffcall.Error{Op: "token", Kind: ffcall.KindToken, Err: err}
	}
	vm, ok := e.Members.View().VM(claims.VM)
	if !ok {
		return nil, &ffcall.Error{Op: "token", Kind: ffcall.KindToken, Err: merry.Errorf("VM %q, the only one that may run a call with this token, is unknown", claims.VM)}
	}
	for n := 1; ; n++ {
		attempt := *call
		attempt.ID = call.ID + "." + strconv.Itoa(n)
		reply, err := e.do(ctx, vm, &attempt)
		if err == nil || !shouldResend(err) {
			return reply, err
		}
		next := time.Now().Add(tokenRetryInterval)
		if !next.Before(call.Deadline) || !waitUntil(ctx, next) {
			return nil, ffcall.WithOutcomeUnknown(err)
		}
	}
}

// shouldResend reports whether the attempt may not have reached the gate, or its
// answer was lost. A refusal by the gate as not run is final, since it spends the
// token.
func shouldResend(err error) bool {
	var e *ffcall.Error
	if !errors.As(err, &e) {
		return false
	}
	switch e.Kind {
	case ffcall.KindNoResponse:
		return true
	case ffcall.KindUnreachable, ffcall.KindTruncated:
		return e.Outcome != ffcall.OutcomeNotRun || e.Load.VM == ""
	default:
		return false
	}
}

// Mint returns a token for one call of a route that is not idempotent. Its
// error is an *ffcall.Error.
func (e *Entry) Mint(ctx context.Context, s *ffconfig.Snapshot, c *ffconfig.Contract, name string) (string, error) {
	route, ok := s.RouteByName(name)
	if !ok || !c.Allows(name) {
		return "", ffcall.Refuse("mint", ffcall.KindForbidden, merry.Errorf("the contract of %s does not allow route %q", c.Customer, name))
	}
	if route.Idempotent {
		return "", ffcall.Refuse("mint", ffcall.KindMalformed, merry.Errorf("route %s is idempotent and does not use tokens", name))
	}
	permit, refusal := e.acquire(ctx, c)
	if refusal != nil {
		return "", refusal
	}
	defer permit.Release()
	return e.mintWithRetry(ctx, route, c.Customer)
}

// mintWithRetry requests a token from up to mintAttempts targets of the route until
// one returns it.
func (e *Entry) mintWithRetry(ctx context.Context, route *ffconfig.Route, customer string) (string, error) {
	var tried []string
	var last error
	for range mintAttempts {
		vm, err := e.choose(route, tried)
		if err != nil {
			return "", errors.Join(err, last)
		}
		token, err := e.mint(ctx, vm, customer, route.Name)
		if err == nil {
			return token, nil
		}
		last = err
		tried = append(tried, vm.Name)
	}
	return "", last
}

func (e *Entry) mint(ctx context.Context, vm ffmember.VM, customer, route string) (string, error) {
	if vm.Name == e.Self {
		return e.Gate.Mint(customer, route)
	}
	return e.Remote.Mint(ctx, vm, customer, route)
}
