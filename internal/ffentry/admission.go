package ffentry

import (
	"context"
	"strings"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/internal/fflimit"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// Admission is a call that its contract allows, before its body is read.
type Admission struct {
	Contract *ffconfig.Contract
	Route    *ffconfig.Route
	Version  ffconfig.Version
	permit   fflimit.Permit
}

// Release gives back what the call holds of the contract.
func (a *Admission) Release() { a.permit.Release() }

// Authenticate returns the contract of the customer that key belongs to, with
// the configuration that it stands in.
func (e *Entry) Authenticate(key string) (*ffconfig.Snapshot, *ffconfig.Contract, error) {
	snapshot := e.Snapshots.Snapshot()
	if snapshot == nil || !e.Readiness.Ready() {
		return nil, nil, ffcall.Refuse("authenticate", ffcall.KindNotReady, merry.New("the daemon has not learnt the greatest version yet"))
	}
	contract, ok := snapshot.ContractByKey(key)
	if key == "" || !ok {
		return nil, nil, ffcall.Refuse("authenticate", ffcall.KindUnauthenticated, merry.New("the key is missing or belongs to no customer"))
	}
	return snapshot, contract, nil
}

// Admit checks the route of a request and takes its part of the contract.
func (e *Entry) Admit(ctx context.Context, snapshot *ffconfig.Snapshot, contract *ffconfig.Contract, method, path string) (*Admission, error) {
	if dotted(path) {
		return nil, ffcall.Refuse("admit", ffcall.KindMalformed, merry.Errorf("the path %q has dot segments, which could lead to another route", path))
	}
	route, ok := snapshot.Route(method, path)
	if !ok {
		return nil, ffcall.Refuse("admit", ffcall.KindNoRoute, merry.Errorf("no route takes %s %s", method, path))
	}
	if !contract.Allows(route.Name) {
		return nil, ffcall.Refuse("admit", ffcall.KindForbidden, merry.Errorf("the contract of %s does not name route %s", contract.Customer, route.Name))
	}
	permit, refusal := e.acquire(ctx, contract)
	if refusal != nil {
		return nil, refusal
	}
	return &Admission{Contract: contract, Route: route, Version: snapshot.Version(), permit: permit}, nil
}

// dotted reports whether a path has segments that a target may resolve to a path
// of another route.
func dotted(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}
