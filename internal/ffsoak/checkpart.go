package ffsoak

import "slices"

// checkNeverInPart checks that every version seen was published completely, and
// that each call was answered according to its version.
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

// checkConsistent checks one call against the version that it was served from.
func (x *index) checkConsistent(f *Finding, c *Call) {
	if c.Reason == "unauthenticated" {
		f.violated(x.callTrace("refused as unauthenticated, though every version has the customer's key", c)...)
	}
	if c.Version == "" {
		return
	}
	p, ok := x.wholeVersion(c.Version)
	if !ok {
		f.violated(x.callTrace("served from a version that was never published whole", c)...)
		return
	}
	route, found := p.route(c.Method, c.Path)
	allowed := found && slices.Contains(p.Allowed[c.Customer], route.Name)
	switch {
	case c.Reason == "noRoute" && found, c.Reason == "forbidden" && allowed:
		f.violated(x.callTrace("refused, though version "+c.Version+" has the route and allows it", c)...)
	case c.Outcome == "ran" && !allowed:
		f.violated(x.callTrace("ran, though version "+c.Version+" does not have or allow the route", c)...)
	}
}
