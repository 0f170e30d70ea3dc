package ffsoak

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffstand"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// route returns the matching route with the longest path.
func (p *Publication) route(method, path string) (ffconfig.Route, bool) {
	var best ffconfig.Route
	found := false
	for _, r := range p.Routes {
		if r.Matches(method, path) && (!found || len(r.Path) > len(best.Path)) {
			best = r
			found = true
		}
	}
	return best, found
}

// offers reports whether the version routes a request to the service and the
// service has the resource of the route.
func (p *Publication) offers(service, method, path string) bool {
	route, ok := p.route(method, path)
	if !ok || route.Service != service {
		return false
	}
	return slices.ContainsFunc(p.Services, func(s ffconfig.Service) bool { return s.Name == service && s.Offers(route.Resource) })
}

// checkNoLackingRoute checks that each execution ran at a service that has the
// resource, both in the version of its entry and in some version of its target's
// daemon.
func checkNoLackingRoute(x *index) Finding {
	f := Finding{Promise: PromiseNoLackingRoute}
	moved := make(map[string]bool)
	for _, e := range x.Executions {
		path, _, _ := strings.Cut(e.Path, "?")
		service := x.vms[e.Target].Service
		c := x.calls[keyOf(e.Path)]
		if c != nil && c.Path == movingPath {
			moved[service] = true
		}
		if p, ok := x.answeredFrom(c); ok && !p.offers(service, e.Method, path) {
			f.violated("the version of the entry does not lead here", line("call", c), line("execution", e))
		}
		if !x.offeredAt(c, e, service, path) {
			f.violated("no version that the target's daemon had in force during the call offers this", line("call", c), line("execution", e), line("versions", x.versionsAt(c, e)))
		}
	}
	f.exercised(len(moved) > 1)
	return f
}

// answeredFrom returns the version that served a call without a token, which is
// sent only once.
func (x *index) answeredFrom(c *Call) (*Publication, bool) {
	if c == nil || c.Token {
		return nil, false
	}
	return x.wholeVersion(c.Version)
}

// offeredAt reports whether a version that the target's daemon had during the
// call offers the request.
func (x *index) offeredAt(c *Call, e ffstand.Execution, service, path string) bool {
	return slices.ContainsFunc(x.versionsAt(c, e), func(name string) bool {
		v := x.byVersion[name]
		return v != nil && v.offers(service, e.Method, path)
	})
}

// versionsAt returns the versions that the target's daemon had in force at some
// time between the last status before the call and the first one after its start
// at the target. It returns all versions that the
// daemon applied if the statuses don't determine them.
func (x *index) versionsAt(c *Call, e ffstand.Execution) []string {
	var all []string
	for _, p := range x.Processes {
		if p.VM != e.Target || e.Started.Before(p.Started) || (!p.Ended.IsZero() && e.Started.After(p.Ended)) {
			continue
		}
		all = append(all, x.appliedBetween(p, c, e)...)
	}
	return all
}

func (x *index) appliedBetween(p Process, c *Call, e ffstand.Execution) []string {
	from := 0
	if c != nil {
		if before, ok := x.lastBefore(p.VM, c.Started); ok && before.Asked.After(p.Started) {
			from = max(slices.Index(p.Applied, before.Version.String()), 0)
		}
	}
	until := len(p.Applied)
	samples := x.samples[p.VM]
	i, _ := slices.BinarySearchFunc(samples, e.Started, func(s Sample, at time.Time) int { return cmp.Or(s.Asked.Compare(at), 1) })
	if i < len(samples) {
		if after := slices.Index(p.Applied, samples[i].Version.String()); after >= 0 {
			until = after + 1
		}
	}
	if from >= until {
		return p.Applied
	}
	return p.Applied[from:until]
}
