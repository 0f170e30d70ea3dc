package ffroute

import (
	"fmt"
	"reflect"
)

// Delta is what a version changes against an earlier one.
type Delta struct {
	Base    uint64 `json:"base"`
	Version uint64 `json:"version"`
	// Changed are the routes that are new or other than before; Removed the names
	// of those that are gone.
	Changed  []Route   `json:"changed,omitempty"`
	Removed  []string  `json:"removed,omitempty"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
}

// Since returns what t changes against base.
func (t *Table) Since(base *Table) *Delta {
	d := &Delta{Base: base.Version, Version: t.Version, Services: t.Services, Limits: t.Limits}
	before := make(map[string]*Route, len(base.Routes))
	for i := range base.Routes {
		before[base.Routes[i].Name] = &base.Routes[i]
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		if old, ok := before[r.Name]; !ok || !reflect.DeepEqual(*old, *r) {
			d.Changed = append(d.Changed, *r)
		}
		delete(before, r.Name)
	}
	for name := range before {
		d.Removed = append(d.Removed, name)
	}
	return d
}

// With returns the version that d makes of t.
func (t *Table) With(d *Delta) (*Table, error) {
	if t.Version != d.Base {
		return nil, fmt.Errorf("ffroute: a change of version %d does not fit version %d", d.Base, t.Version)
	}
	gone := make(map[string]bool, len(d.Removed)+len(d.Changed))
	for _, name := range d.Removed {
		gone[name] = true
	}
	for i := range d.Changed {
		gone[d.Changed[i].Name] = true
	}
	next := &Table{Version: d.Version, Services: d.Services, Limits: d.Limits}
	for i := range t.Routes {
		if !gone[t.Routes[i].Name] {
			next.Routes = append(next.Routes, t.Routes[i])
		}
	}
	next.Routes = append(next.Routes, d.Changed...)
	return next.Index(), nil
}
