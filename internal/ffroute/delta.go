package ffroute

import (
	"fmt"
	"reflect"
	"slices"
)

// Delta holds the differences between two versions of a table.
type Delta struct {
	Base    uint64 `json:"base"`
	Version uint64 `json:"version"`
	// Changed holds the routes that were added or modified, Removed the names of
	// those that no longer exist.
	Changed  []*Route  `json:"changed,omitempty"`
	Removed  []string  `json:"removed,omitempty"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
}

// DiffFrom returns the delta from base to t.
func (t *Table) DiffFrom(base *Table) *Delta {
	d := &Delta{Base: base.Version, Version: t.Version, Services: t.Services, Limits: t.Limits}
	oldRoutes := base.byName()
	for _, r := range t.Routes {
		if old, ok := oldRoutes[r.Name]; !ok || !old.equal(r) {
			d.Changed = append(d.Changed, r)
		}
		delete(oldRoutes, r.Name)
	}
	for name := range oldRoutes {
		d.Removed = append(d.Removed, name)
	}
	return d
}

// With returns the table that results from applying d to t. It returns an error
// if d is based on another version than t.
func (t *Table) With(d *Delta) (*Table, error) {
	if t.Version != d.Base {
		return nil, fmt.Errorf("ffroute: delta with base version %d cannot be applied to version %d", d.Base, t.Version)
	}
	replaced := make(map[string]bool, len(d.Removed)+len(d.Changed))
	for _, name := range d.Removed {
		replaced[name] = true
	}
	changed := slices.DeleteFunc(slices.Clone(d.Changed), func(r *Route) bool { return r == nil })
	for _, r := range changed {
		replaced[r.Name] = true
	}
	next := &Table{Version: d.Version, Services: d.Services, Limits: d.Limits}
	next.Routes = make([]*Route, 0, len(t.Routes)+len(changed))
	for _, r := range t.Routes {
		if !replaced[r.Name] {
			next.Routes = append(next.Routes, r)
		}
	}
	next.Routes = append(next.Routes, changed...)
	return next.Index(), nil
}

// WithRoutesOf returns t with the routes of other in place of those that are equal, so
// that both take little more memory than one. Both may be nil.
func (t *Table) WithRoutesOf(other *Table) *Table {
	if t == nil || other == nil || t.Version == other.Version {
		return t
	}
	known := other.byName()
	next := &Table{Version: t.Version, Services: t.Services, Limits: t.Limits}
	next.Routes = slices.Clone(t.Routes)
	for i, r := range next.Routes {
		if old, ok := known[r.Name]; ok && old.equal(r) {
			next.Routes[i] = old
		}
	}
	return next.Index()
}

func (t *Table) byName() map[string]*Route {
	routes := make(map[string]*Route, len(t.Routes))
	for _, r := range t.Routes {
		routes[r.Name] = r
	}
	return routes
}

// equal reports whether r and other are the same route.
func (r *Route) equal(other *Route) bool { return r == other || reflect.DeepEqual(r, other) }
