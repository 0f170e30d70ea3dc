package ffroute

import (
	"fmt"
	"reflect"
)

// Delta holds the differences between two versions of a table.
type Delta struct {
	Base    uint64 `json:"base"`
	Version uint64 `json:"version"`
	// Changed holds the routes that were added or modified, Removed the names of
	// those that no longer exist.
	Changed  []Route   `json:"changed,omitempty"`
	Removed  []string  `json:"removed,omitempty"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
}

// DiffFrom returns the delta from base to t.
func (t *Table) DiffFrom(base *Table) *Delta {
	d := &Delta{Base: base.Version, Version: t.Version, Services: t.Services, Limits: t.Limits}
	oldRoutes := make(map[string]*Route, len(base.Routes))
	for i := range base.Routes {
		oldRoutes[base.Routes[i].Name] = &base.Routes[i]
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		if old, ok := oldRoutes[r.Name]; !ok || !reflect.DeepEqual(*old, *r) {
			d.Changed = append(d.Changed, *r)
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
	for i := range d.Changed {
		replaced[d.Changed[i].Name] = true
	}
	next := &Table{Version: d.Version, Services: d.Services, Limits: d.Limits}
	for i := range t.Routes {
		if !replaced[t.Routes[i].Name] {
			next.Routes = append(next.Routes, t.Routes[i])
		}
	}
	next.Routes = append(next.Routes, d.Changed...)
	return next.Index(), nil
}
