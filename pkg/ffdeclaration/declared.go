package ffdeclaration

import (
	"fmt"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// Declarations are the contracts, services and routes of a mesh.
type Declarations struct {
	contracts []*declared[ffconfig.Contract]
	services  []*declared[ffconfig.Service]
	routes    []*declared[ffconfig.Route]
}

// declared is one declaration with the file that it comes from.
type declared[T any] struct {
	document
	value T
}

func (d *Declarations) faults() Faults {
	var all Faults
	for _, c := range d.contracts {
		all = append(all, c.faults...)
	}
	for _, s := range d.services {
		all = append(all, s.faults...)
	}
	for _, r := range d.routes {
		all = append(all, r.faults...)
	}
	return all
}

// checkNames compares each file name with the name that it declares.
func (d *Declarations) checkNames() {
	for _, c := range d.contracts {
		c.checkName("customer", c.value.Customer)
	}
	for _, s := range d.services {
		s.checkName("service", s.value.Name)
	}
	for _, r := range d.routes {
		r.checkName("route", r.value.Name)
	}
	checkUnique(d.contracts, "customer", func(c *ffconfig.Contract) string { return c.Customer })
	checkUnique(d.services, "service", func(s *ffconfig.Service) string { return s.Name })
	checkUnique(d.routes, "route", func(r *ffconfig.Route) string { return r.Name })
}

func (d *document) checkName(field, name string) {
	if want := baseName(d.file); !d.faulty[field] && name != want {
		d.add(d.line(field), field, fmt.Sprintf("is %q, but the file name says %q; they must be the same", name, want))
	}
}

// checkUnique adds a fault to each declaration whose name an earlier file has taken.
func checkUnique[T any](all []*declared[T], field string, name func(*T) string) {
	first := make(map[string]*declared[T], len(all))
	for _, d := range all {
		n := name(&d.value)
		if n == "" {
			continue
		}
		if other, taken := first[n]; taken {
			d.add(d.line(field), field, fmt.Sprintf("%q is declared in %s already; each name is declared once", n, other.file))
			continue
		}
		first[n] = d
	}
}
