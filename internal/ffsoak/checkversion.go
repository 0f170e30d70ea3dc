package ffsoak

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// startAge is how long before a start a peer must have shown a version so that
// the started daemon can learn it.
const startAge = 500 * time.Millisecond

// checkNeverOlder judges that no daemon goes back: by the order of its audit
// trail, by its statuses, and by the versions that its callers were served from.
func checkNeverOlder(x *index) Finding {
	f := Finding{Promise: PromiseNeverOlder}
	for _, p := range x.Processes {
		x.checkTrail(&f, p)
		x.checkServed(&f, p)
		x.checkLearnt(&f, p)
	}
	for _, vm := range x.VMs {
		x.checkStatuses(&f, x.samples[vm.Name])
	}
	tempted := slices.ContainsFunc(x.Faults, func(f Injected) bool {
		return f.Kind.ofPlatform() || f.Kind.ofLink() || f.Kind.ofProcess()
	})
	advanced := slices.ContainsFunc(x.Processes, func(p Process) bool { return len(p.Applied) > 1 })
	f.exercised(tempted && advanced)
	return f
}

func (x *index) checkTrail(f *Finding, p Process) {
	for i := 1; i < len(p.Applied); i++ {
		before, after := x.byVersion[p.Applied[i-1]], x.byVersion[p.Applied[i]]
		if before != nil && after != nil && !after.Version.NewerThan(before.Version) {
			f.violated(fmt.Sprintf("the daemon of %s applied %s after %s", p.VM, p.Applied[i], p.Applied[i-1]), line("process", p))
		}
	}
}

func (x *index) checkStatuses(f *Finding, samples []Sample) {
	latest := make(map[uint64]Sample)
	for _, s := range samples {
		before, ok := latest[s.Incarnation]
		if ok && before.Version.NewerThan(s.Version) {
			f.violated("the daemon of "+s.VM+" showed an older version than before", line("before", before), line("after", s))
		}
		latest[s.Incarnation] = s
	}
}

// checkServed judges the versions that the calls to one process were served from.
func (x *index) checkServed(f *Finding, p Process) {
	var served []*Call
	for i := range x.Calls {
		c := &x.Calls[i]
		if c.Entry == p.VM && x.byVersion[c.Version] != nil && c.Started.After(p.Started) && (p.Ended.IsZero() || c.Ended.Before(p.Ended)) {
			served = append(served, c)
		}
	}
	byEnd := slices.Clone(served)
	slices.SortFunc(byEnd, func(a, b *Call) int { return a.Ended.Compare(b.Ended) })
	slices.SortFunc(served, func(a, b *Call) int { return a.Started.Compare(b.Started) })
	var newest *Call
	next := 0
	for _, c := range served {
		for next < len(byEnd) && byEnd[next].Ended.Before(c.Started) {
			if newest == nil || x.byVersion[byEnd[next].Version].Version.NewerThan(x.byVersion[newest.Version].Version) {
				newest = byEnd[next]
			}
			next++
		}
		if newest != nil && x.byVersion[newest.Version].Version.NewerThan(x.byVersion[c.Version].Version) {
			f.violated("the daemon of "+p.VM+" served a call from an older version than before", line("before", newest), line("after", c))
		}
	}
}

// checkLearnt judges that a started daemon is not ready with an older version
// than a peer of its data centre had all the time, which it had to ask.
func (x *index) checkLearnt(f *Finding, p Process) {
	first, ok := x.firstReady(p)
	if !ok {
		return
	}
	for _, vm := range x.VMs {
		if vm.Name == p.VM || vm.DataCentre != x.vms[p.VM].DataCentre || !x.steady(vm.Name, p.Started.Add(-startAge), first.At) {
			continue
		}
		known, ok := x.lastBefore(vm.Name, p.Started.Add(-startAge))
		if ok && known.Ready && known.Version.NewerThan(first.Version) {
			f.violated("the started daemon of "+p.VM+" was ready with an older version than its peer had", line("peer", known), line("started", first), line("process", p))
		}
	}
}

func (x *index) firstReady(p Process) (Sample, bool) {
	for _, s := range x.samples[p.VM] {
		if s.Ready && s.Asked.After(p.Started) && (p.Ended.IsZero() || s.At.Before(p.Ended)) {
			return s, true
		}
	}
	return Sample{}, false
}

func (x *index) lastBefore(vm string, at time.Time) (Sample, bool) {
	samples := x.samples[vm]
	i, _ := slices.BinarySearchFunc(samples, at, func(s Sample, at time.Time) int { return cmp.Or(s.Asked.Compare(at), 1) })
	if i == 0 {
		return Sample{}, false
	}
	return samples[i-1], true
}

// steady reports whether a VM's daemon could be asked during the whole time.
func (x *index) steady(vm string, from, to time.Time) bool {
	return !slices.ContainsFunc(x.Faults, func(f Injected) bool { return f.overlaps(from, to) && x.concernsVM(f, vm) })
}

// checkNeverInPart judges that every version seen was published whole, and that
// each call was answered as that version says.
func checkNeverInPart(x *index) Finding {
	f := Finding{Promise: PromiseNeverInPart}
	for _, p := range x.Processes {
		for _, name := range p.Applied {
			if _, ok := x.wholeVersion(name); !ok {
				f.violated("the daemon of "+p.VM+" applied "+name+", which was never published whole", line("process", p))
			}
		}
		f.exercised(slices.ContainsFunc(p.Refused, func(name string) bool { return x.byVersion[name] != nil && x.byVersion[name].Faulty }))
	}
	for _, s := range x.Samples {
		if _, ok := x.wholeVersion(s.Version.String()); !ok && !s.Version.IsZero() {
			f.violated("the daemon of "+s.VM+" has a version in force that was never published whole", line("status", s))
		}
	}
	for i := range x.Calls {
		x.checkConsistent(&f, &x.Calls[i])
	}
	return f
}

// checkConsistent judges one call against the version that it was served from.
func (x *index) checkConsistent(f *Finding, c *Call) {
	if c.Reason == "unauthenticated" {
		f.violated(x.callTrace("every version has the customer's key, yet it was refused", c)...)
	}
	if c.Version == "" {
		return
	}
	p, ok := x.wholeVersion(c.Version)
	if !ok {
		f.violated(x.callTrace("served from a version that was never published whole", c)...)
		return
	}
	route, there := p.route(c.Method, c.Path)
	allowed := there && slices.Contains(p.Allowed[c.Customer], route.Name)
	switch {
	case c.Reason == "noRoute" && there, c.Reason == "forbidden" && allowed:
		f.violated(x.callTrace("refused, though version "+c.Version+" has the route and allows it", c)...)
	case c.Outcome == "ran" && !allowed:
		f.violated(x.callTrace("ran, though version "+c.Version+" does not have or allow the route", c)...)
	}
}

// route returns the longest route of the version that matches.
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

// offers reports whether the version lets targets of a service run a request.
func (p *Publication) offers(service, method, path string) bool {
	route, ok := p.route(method, path)
	if !ok || route.Service != service {
		return false
	}
	return slices.ContainsFunc(p.Services, func(s ffconfig.Service) bool { return s.Name == service && s.Offers(route.Resource) })
}

// checkNoLackingRoute judges that each execution came to a service that has the
// resource, by the version of its entry and by some version of its target's daemon.
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
		if !x.offeredAt(e.Target, service, e.Method, path) {
			f.violated("no version of the target's daemon offers this", line("call", c), line("execution", e))
		}
	}
	f.exercised(len(moved) > 1)
	return f
}

// answeredFrom returns the version of a call that only one entry served.
func (x *index) answeredFrom(c *Call) (*Publication, bool) {
	if c == nil || c.Entry == "" {
		return nil, false
	}
	return x.wholeVersion(c.Version)
}

// offeredAt reports whether any version that the daemon of a VM had offers the request.
func (x *index) offeredAt(vm, service, method, path string) bool {
	for _, p := range x.Processes {
		if p.VM != vm {
			continue
		}
		for _, name := range p.Applied {
			if v := x.byVersion[name]; v != nil && v.offers(service, method, path) {
				return true
			}
		}
	}
	return false
}
