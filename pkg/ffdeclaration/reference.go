package ffdeclaration

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// checkReferences adds a fault for each name that refers to nothing, and for
// each key or path that two declarations share.
func (d *Declarations) checkReferences() {
	services := make(map[string]*declared[ffconfig.Service], len(d.services))
	for _, s := range d.services {
		services[s.name] = s
	}
	for _, r := range d.routes {
		checkService(r, services)
	}
	routes := make(map[string]bool, len(d.routes))
	for _, r := range d.routes {
		routes[r.name] = true
	}
	for _, c := range d.contracts {
		checkRoutes(c, routes)
	}
	checkMatches(d.routes)
	checkKeys(d.contracts)
}

// checkService compares a route with the service that it names.
func checkService(r *declared[ffconfig.Route], services map[string]*declared[ffconfig.Service]) {
	if !r.sound("service") {
		return
	}
	s, ok := services[r.value.Service]
	if !ok {
		r.add(r.line("service"), "service", fmt.Sprintf("%q is not a service; allowed are %s", r.value.Service, listed(services)))
		return
	}
	if r.sound("resource") && s.sound("resources") && !s.value.Offers(r.value.Resource) {
		r.add(r.line("resource"), "resource", fmt.Sprintf("service %q does not offer %q; allowed are %s", r.value.Service, r.value.Resource, strings.Join(s.value.Resources, ", ")))
	}
	if r.sound("class") && s.sound("longSlots") && r.value.Class == ffconfig.ClassLong && s.value.LongSlots == 0 {
		r.add(r.line("class"), "class", fmt.Sprintf("service %q has no slots for long work; allowed is short", r.value.Service))
	}
}

// checkRoutes looks up each route that a contract names.
func checkRoutes(c *declared[ffconfig.Contract], routes map[string]bool) {
	if !c.sound("routes") {
		return
	}
	for i, name := range c.value.Routes {
		if !routes[name] {
			c.add(c.itemLine("routes", i), "routes", fmt.Sprintf("%q is not a route; allowed are %s", name, listed(routes)))
		}
	}
}

// checkMatches finds routes that take the same requests.
func checkMatches(routes []*declared[ffconfig.Route]) {
	type match struct{ method, path string }
	first := make(map[match]*declared[ffconfig.Route], len(routes))
	for _, r := range routes {
		if !r.sound("method") || !r.sound("path") {
			continue
		}
		m := match{method: r.value.Method, path: r.value.Path}
		if other, taken := first[m]; taken {
			r.add(r.line("path"), "path", fmt.Sprintf("%s %s is the path of %s already; each method and path has one route", m.method, m.path, other.file))
			continue
		}
		first[m] = r
	}
}

// checkKeys finds keys that do not tell one customer from another.
func checkKeys(contracts []*declared[ffconfig.Contract]) {
	first := make(map[ffconfig.Digest]*declared[ffconfig.Contract])
	for _, c := range contracts {
		if !c.sound("keyHashes") {
			continue
		}
		for i, h := range c.value.KeyHashes {
			if other, taken := first[h]; taken {
				c.add(c.itemLine("keyHashes", i), "keyHashes", fmt.Sprintf("%s is a key of %s already; each key belongs to one customer and is listed once", h.Short(), other.file))
				continue
			}
			first[h] = c
		}
	}
}

// listed returns the names that a reference may take.
func listed[V any](names map[string]V) string {
	return strings.Join(slices.Sorted(maps.Keys(names)), ", ")
}
