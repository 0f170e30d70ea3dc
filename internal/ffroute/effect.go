package ffroute

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Effects returns what changes for requests if t follows base, a line for each effect,
// sorted by route. It compares the versions as the daemons do.
func (t *Table) Effects(base *Table) []string {
	d := t.DiffFrom(base)
	old := base.byName()
	var lines []string
	for _, r := range d.Changed {
		if before, ok := old[r.Name]; ok {
			lines = append(lines, r.effects(before)...)
		} else {
			lines = append(lines, fmt.Sprintf("route %s: added, %s%s to %s", r.Name, r.Host, r.Prefix, r.shares()))
		}
	}
	for _, name := range d.Removed {
		lines = append(lines, fmt.Sprintf("route %s: dropped, its requests get 404 unless another route matches", name))
	}
	slices.SortStableFunc(lines, cmp.Compare[string])
	if t.Limits != base.Limits {
		lines = append(lines, fmt.Sprintf("limits: %+v become %+v", base.Limits, t.Limits))
	}
	if t.Version <= base.Version {
		lines = append(lines, fmt.Sprintf("version: %d does not follow %d, no daemon applies it", t.Version, base.Version))
	}
	return lines
}

// effects returns what changes for the requests of a route.
func (r *Route) effects(before *Route) []string {
	var lines []string
	add := func(format string, values ...any) {
		lines = append(lines, "route "+r.Name+": "+fmt.Sprintf(format, values...))
	}
	if r.Host != before.Host || r.Prefix != before.Prefix {
		add("matches %s%s instead of %s%s", r.Host, r.Prefix, before.Host, before.Prefix)
	}
	if !slices.Equal(r.Split, before.Split) {
		add("moves from %s to %s", before.shares(), r.shares())
	}
	if r.Kind != before.Kind {
		add("kind %v becomes %v", before.Kind, r.Kind)
	}
	for _, c := range []struct {
		name    string
		old, is time.Duration
	}{{"timeout", before.Timeout, r.Timeout}, {"latency objective", before.Objective, r.Objective}} {
		switch {
		case c.is < c.old:
			add("%s loses time, %v becomes %v", c.name, c.old, c.is)
		case c.is > c.old:
			add("%s gains time, %v becomes %v", c.name, c.old, c.is)
		}
	}
	if r.Priority != before.Priority {
		add("priority %d becomes %d", before.Priority, r.Priority)
	}
	if r.Attempts != before.Attempts {
		add("attempts %d become %d", before.Attempts, r.Attempts)
	}
	return lines
}

// shares returns the services of a route with their shares of the requests, in percent.
func (r *Route) shares() string {
	total := 0
	for _, p := range r.Split {
		total += p.Weight
	}
	var parts []string
	for _, p := range r.Split {
		parts = append(parts, fmt.Sprintf("%s %.4g%%", p.Service, 100*float64(p.Weight)/float64(max(total, 1))))
	}
	return strings.Join(parts, ", ")
}
