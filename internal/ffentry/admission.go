package ffentry

import (
	"context"
	"strings"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/internal/fflimit"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// Admission is a call that was admitted within its contract; its body is not read yet.
type Admission struct {
	Contract *ffconfig.Contract
	Route    *ffconfig.Route
	Version  ffconfig.Version
	permit   fflimit.Permit
}

// Release releases the permit that the call holds within the contract.
func (a *Admission) Release() { a.permit.Release() }

// Authenticate returns the contract of the customer that key belongs to, and the
// snapshot that contains it. Its error is an *ffcall.Error.
func (e *Entry) Authenticate(key string) (*ffconfig.Snapshot, *ffconfig.Contract, error) {
	snapshot := e.Snapshots.Snapshot()
	if snapshot == nil || !e.Readiness.Ready() {
		return nil, nil, ffcall.Refuse("authenticate", ffcall.KindNotReady, merry.New("the daemon has not determined the latest version yet"))
	}
	contract, ok := snapshot.ContractByKey(key)
	if key == "" || !ok {
		return nil, nil, ffcall.Refuse("authenticate", ffcall.KindUnauthenticated, merry.New("the key is missing or belongs to no customer"))
	}
	return snapshot, contract, nil
}

// Admit checks that the contract allows the route of a request, and acquires a
// permit within its limits. Its error is an *ffcall.Error.
func (e *Entry) Admit(ctx context.Context, snapshot *ffconfig.Snapshot, contract *ffconfig.Contract, method, path string) (*Admission, error) {
	if hasDotSegments(path) {
		return nil, ffcall.Refuse("admit", ffcall.KindMalformed, merry.Errorf("the path %q has dot segments, which the target may resolve to another route", path))
	}
	route, ok := snapshot.Route(method, path)
	if !ok {
		return nil, ffcall.Refuse("admit", ffcall.KindNoRoute, merry.Errorf("no route matches %s %s", method, path))
	}
	if !contract.Allows(route.Name) {
		return nil, ffcall.Refuse("admit", ffcall.KindForbidden, merry.Errorf("the contract of %s does not allow route %s", contract.Customer, route.Name))
	}
	permit, refusal := e.acquire(ctx, contract)
	if refusal != nil {
		return nil, refusal
	}
	return &Admission{Contract: contract, Route: route, Version: snapshot.Version(), permit: permit}, nil
}

// hasDotSegments reports whether path has "." or ".." segments, which a target may
// resolve to the path of another route.
func hasDotSegments(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}
