package ffroute

import (
	"cmp"
	"net"
	"slices"
	"strings"
)

// Table is one version of all routes. It must not be modified after Index. Versions
// share the routes that are equal.
type Table struct {
	Version  uint64    `json:"version"`
	Routes   []*Route  `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`

	hosts map[string][]*Route
}

// Index builds the index that Match uses, without routes that are null, and returns t.
func (t *Table) Index() *Table {
	t.Routes = slices.DeleteFunc(t.Routes, func(r *Route) bool { return r == nil })
	t.hosts = make(map[string][]*Route)
	for _, r := range t.Routes {
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Match returns the route of host with the longest matching prefix of path, or nil.
func (t *Table) Match(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// LimitsCold reports whether the targets of some service take fewer calls while cold. t may
// be nil.
func (t *Table) LimitsCold() bool {
	return t != nil && slices.ContainsFunc(t.Services, func(s Service) bool { return s.ColdPerSecond > 0 })
}

// Service returns the service with the given name, or the zero value if there is none.
func (t *Table) Service(name string) Service {
	for _, s := range t.Services {
		if s.Name == name {
			return s
		}
	}
	return Service{}
}
