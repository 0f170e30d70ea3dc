package ffdeclaration

import (
	"fmt"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// declarationKind describes the declarations of one directory.
type declarationKind[T any] struct {
	directory string
	// field is the field that contains the name of a declaration.
	field    string
	name     func(*T) string
	validate func(*T) []ffconfig.Fault
}

var (
	contractKind = declarationKind[ffconfig.Contract]{
		directory: "contracts",
		field:     "customer",
		name:      func(c *ffconfig.Contract) string { return c.Customer },
		validate:  (*ffconfig.Contract).Validate,
	}
	serviceKind = declarationKind[ffconfig.Service]{
		directory: "services",
		field:     "service",
		name:      func(s *ffconfig.Service) string { return s.Name },
		validate:  (*ffconfig.Service).Validate,
	}
	routeKind = declarationKind[ffconfig.Route]{
		directory: "routes",
		field:     "route",
		name:      func(r *ffconfig.Route) string { return r.Name },
		validate:  (*ffconfig.Route).Validate,
	}
)

// Declarations are the contracts, services and routes of a mesh.
type Declarations struct {
	contracts []*declaration[ffconfig.Contract]
	services  []*declaration[ffconfig.Service]
	routes    []*declaration[ffconfig.Route]
}

// declaration is one declaration with the file that it was read from.
type declaration[T any] struct {
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

// checkNames checks that each name matches its file name and is declared once.
func (d *Declarations) checkNames() {
	checkNames(d.contracts, contractKind.field)
	checkNames(d.services, serviceKind.field)
	checkNames(d.routes, routeKind.field)
}

func checkNames[T any](all []*declaration[T], field string) {
	first := make(map[string]*declaration[T], len(all))
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
