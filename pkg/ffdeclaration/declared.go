package ffdeclaration

import (
	"fmt"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// declarationSort is what the declarations of one directory have in common.
type declarationSort[T any] struct {
	directory string
	// field holds the name of a declaration.
	field    string
	name     func(*T) string
	validate func(*T) []ffconfig.Fault
}

var (
	contractSort = declarationSort[ffconfig.Contract]{
		directory: "contracts",
		field:     "customer",
		name:      func(c *ffconfig.Contract) string { return c.Customer },
		validate:  (*ffconfig.Contract).Validate,
	}
	serviceSort = declarationSort[ffconfig.Service]{
		directory: "services",
		field:     "service",
		name:      func(s *ffconfig.Service) string { return s.Name },
		validate:  (*ffconfig.Service).Validate,
	}
	routeSort = declarationSort[ffconfig.Route]{
		directory: "routes",
		field:     "route",
		name:      func(r *ffconfig.Route) string { return r.Name },
		validate:  (*ffconfig.Route).Validate,
	}
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

// checkNames compares each name with its file name and with the other names.
func (d *Declarations) checkNames() {
	checkNames(d.contracts, contractSort.field)
	checkNames(d.services, serviceSort.field)
	checkNames(d.routes, routeSort.field)
}

func checkNames[T any](all []*declared[T], field string) {
	first := make(map[string]*declared[T], len(all))
	for _, d := range all {
		if want := baseName(d.file); d.name != want {
			d.add(d.line(field), field, fmt.Sprintf("is %q, but the file name says %q; they must be the same", d.name, want))
		}
		if other, taken := first[d.name]; taken {
			d.add(d.line(field), field, fmt.Sprintf("%q is declared in %s already; each name is declared once", d.name, other.file))
			continue
		}
		first[d.name] = d
	}
}
