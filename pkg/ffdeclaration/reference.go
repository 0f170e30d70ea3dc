package ffdeclaration

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// checkReferences adds a fault for each reference to a missing or unsuitable
// declaration, and for each key and each method and path that is declared twice.
func (d *Declarations) checkReferences() {
	services := make(map[string]*declaration[ffconfig.Service], len(d.services))
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
	checkDuplicatePaths(d.routes)
	checkDuplicateKeys(d.contracts)
}

// checkService checks that the service of a route exists, offers its resource and has
// slots for its class.
func checkService(r *declaration[ffconfig.Route], services map[string]*declaration[ffconfig.Service]) {
	if !r.valid("service") {
		return
	}
	s, ok := services[r.value.Service]
	if !ok {
		r.add(r.line("service"), "service", fmt.Sprintf("%q is not a service; allowed are %s", r.value.Service, sortedNames(services)))
		return
	}
	if r.valid("resource") && s.valid("resources") && !s.value.Offers(r.value.Resource) {
		r.add(r.line("resource"), "resource", fmt.Sprintf("service %q does not offer %q; allowed are %s", r.value.Service, r.value.Resource, strings.Join(s.value.Resources, ", ")))
	}
	if r.valid("class") && s.valid("longSlots") && r.value.Class == ffconfig.ClassLong && s.value.LongSlots == 0 {
		r.add(r.line("class"), "class", fmt.Sprintf("service %q has no slots for long work; allowed is short", r.value.Service))
	}
}

// checkRoutes checks that each route of a contract exists.
func checkRoutes(c *declaration[ffconfig.Contract], routes map[string]bool) {
	if !c.valid("routes") {
		return
	}
	for i, name := range c.value.Routes {
		if !routes[name] {
			c.add(c.itemLine("routes", i), "routes", fmt.Sprintf("%q is not a route; allowed are %s", name, sortedNames(routes)))
		}
	}
}

// checkDuplicatePaths adds a fault for routes with the same method and path.
func checkDuplicatePaths(routes []*declaration[ffconfig.Route]) {
	type match struct{ method, path string }
	first := make(map[match]*declaration[ffconfig.Route], len(routes))
	for _, r := range routes {
		if !r.valid("method") || !r.valid("path") {
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

// checkDuplicateKeys adds a fault for each key that is listed more than once.
func checkDuplicateKeys(contracts []*declaration[ffconfig.Contract]) {
	first := make(map[ffconfig.Digest]*declaration[ffconfig.Contract])
	for _, c := range contracts {
		if !c.valid("keyHashes") {
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

// sortedNames returns the keys of names, sorted and separated by commas.
func sortedNames[V any](names map[string]V) string {
	return strings.Join(slices.Sorted(maps.Keys(names)), ", ")
}
