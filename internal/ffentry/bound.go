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
	// boundPause is the time between attempts of a call that only one gate may run.
	boundPause = 50 * time.Millisecond
	// mintAttempts bounds the targets that are asked for a token.
	mintAttempts = 3
)

// serveBound takes a call with a token to the only gate that may run it. Only
// that gate can tell that the call did not run.
func (e *Entry) serveBound(ctx context.Context, call *ffcall.Call) (*ffcall.Reply, error) {
	claims, err := fftoken.Parse(call.Token)
	if err != nil {
		return nil, &ffcall.Error{Op: "token", Kind: ffcall.KindToken, Err: err}
	}
	vm, ok := e.Members.View().VM(claims.VM)
	if !ok {
		return nil, &ffcall.Error{Op: "token", Kind: ffcall.KindToken, Err: merry.Errorf("VM %q, the only one that may run the token, is gone", claims.VM)}
	}
	for n := 1; ; n++ {
		attempt := *call
		attempt.ID = call.ID + "." + strconv.Itoa(n)
		reply, err := e.do(ctx, vm, &attempt)
		if err == nil || !lost(err) {
			return reply, err
		}
		next := time.Now().Add(boundPause)
		if !next.Before(call.Deadline) || !waitUntil(ctx, next) {
			return nil, ffcall.Unproved(err)
		}
	}
}

// lost reports whether the attempt may not have reached the gate. A refusal by
// the gate as not run is final, since it spends the token.
func lost(err error) bool {
	var e *ffcall.Error
	if !errors.As(err, &e) {
		return false
	}
	switch e.Kind {
	case ffcall.KindSilent:
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
		return "", ffcall.Refuse("mint", ffcall.KindForbidden, merry.Errorf("the contract of %s does not name route %q", c.Customer, name))
	}
	if route.Idempotent {
		return "", ffcall.Refuse("mint", ffcall.KindMalformed, merry.Errorf("route %s is idempotent and takes no token", name))
	}
	permit, refusal := e.acquire(ctx, c)
	if refusal != nil {
		return "", refusal
	}
	defer permit.Release()
	return e.mintAt(ctx, route, c.Customer)
}

// mintAt asks targets of the route for a token until one answers.
func (e *Entry) mintAt(ctx context.Context, route *ffconfig.Route, customer string) (string, error) {
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
