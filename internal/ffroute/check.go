package ffroute

import (
	"fmt"
	"strings"
)

// Check returns what is wrong with t, and what its author may not mean, by entry.
func (t *Table) Check() []Finding {
	c := &tableChecker{table: t, known: make(map[string]bool), used: make(map[string]bool)}
	if t.Version == 0 {
		c.add(SeverityError, EntryTable, 0, FieldVersion, "must be above 0")
	}
	for i, s := range t.Services {
		c.checkService(i, s)
	}
	c.checkPlaces()
	for i, r := range t.Routes {
		c.checkRoute(i, r)
	}
	c.checkUnused()
	if l := t.Limits; l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		c.add(SeverityWarning, EntryLimits, 0, FieldHeaderTimeout, "%v is longer than the idle timeout, %v", l.HeaderTimeout, l.IdleTimeout)
	}
	return c.findings
}

// tableChecker collects the findings of a table.
type tableChecker struct {
	table       *Table
	known, used map[string]bool
	findings    []Finding
}

func (c *tableChecker) add(s Severity, e Entry, index int, f Field, format string, values ...any) {
	c.findings = append(c.findings, Finding{Severity: s, Entry: e, Index: index, Field: f, Message: fmt.Sprintf(format, values...)})
}

func (c *tableChecker) checkService(i int, s Service) {
	switch {
	case s.Name == "":
		c.add(SeverityError, EntryService, i, FieldName, "is missing")
	case c.known[s.Name]:
		c.add(SeverityError, EntryService, i, FieldName, "%q is there twice", s.Name)
	}
	c.known[s.Name] = true
	switch {
	case s.ColdPerSecond < 0:
		c.add(SeverityError, EntryService, i, FieldColdPerSecond, "must be 0 or more")
	case s.ColdPerSecond > 0 && s.ColdTime <= 0:
		c.add(SeverityWarning, EntryService, i, FieldColdPerSecond, "has no effect: its targets are cold for no time")
	}
	if s.ColdTime < 0 {
		c.add(SeverityError, EntryService, i, FieldColdTime, "must be 0 or more")
	}
}

// place is where requests match a route.
type place struct{ host, prefix string }

// checkPlaces finds routes that can never match, since another one has their place.
func (c *tableChecker) checkPlaces() {
	first := make(map[place]*Route)
	names := make(map[string]bool)
	for i, r := range c.table.Routes {
		p := place{strings.ToLower(r.Host), r.Prefix}
		if other, ok := first[p]; ok {
			c.add(SeverityError, EntryRoute, i, FieldPrefix, "never matches: route %q has the same host and prefix", other.Name)
		} else {
			first[p] = r
		}
		if names[r.Name] {
			c.add(SeverityError, EntryRoute, i, FieldName, "%q is there twice", r.Name)
		}
		names[r.Name] = true
	}
}

func (c *tableChecker) checkRoute(i int, r *Route) {
	if r.Name == "" {
		c.add(SeverityError, EntryRoute, i, FieldName, "is missing")
	}
	if r.Host == "" {
		c.add(SeverityError, EntryRoute, i, FieldHost, "is missing: no request has an empty host")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		c.add(SeverityError, EntryRoute, i, FieldPrefix, "%q does not begin and end with a slash", r.Prefix)
	}
	switch {
	case r.Timeout <= 0:
		c.add(SeverityError, EntryRoute, i, FieldTimeout, "must be above 0")
	case r.Objective > r.Timeout:
		c.add(SeverityError, EntryRoute, i, FieldObjective, "%v is longer than the timeout, %v", r.Objective, r.Timeout)
	}
	switch {
	case r.Attempts < 1:
		c.add(SeverityError, EntryRoute, i, FieldAttempts, "must be 1 or more")
	case r.Attempts > 1 && !r.Kind.Idempotent():
		c.add(SeverityWarning, EntryRoute, i, FieldAttempts, "%d apply only to requests that no target has run: this kind may not run twice", r.Attempts)
	}
	c.checkSplit(i, r)
}

func (c *tableChecker) checkSplit(i int, r *Route) {
	total := 0
	for _, p := range r.Split {
		c.used[p.Service] = c.used[p.Service] || p.Weight > 0
		switch {
		case !c.known[p.Service]:
			c.add(SeverityError, EntryRoute, i, FieldSplit, "service %q is not in the configuration", p.Service)
		case p.Weight < 0:
			c.add(SeverityError, EntryRoute, i, FieldSplit, "the weight of %q is below 0", p.Service)
		case p.Weight == 0:
			c.add(SeverityWarning, EntryRoute, i, FieldSplit, "service %q gets no request: its weight is 0", p.Service)
		}
		total += max(p.Weight, 0)
	}
	if total == 0 {
		c.add(SeverityError, EntryRoute, i, FieldSplit, "no service gets any request")
	}
}

// checkUnused finds services that no route leads to.
func (c *tableChecker) checkUnused() {
	for i, s := range c.table.Services {
		if !c.used[s.Name] {
			c.add(SeverityWarning, EntryService, i, FieldName, "no route leads to %q", s.Name)
		}
	}
}
