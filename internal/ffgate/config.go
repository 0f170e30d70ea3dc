package ffgate

import (
	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// config is the part of the active snapshot that concerns the target's service.
type config struct {
	snapshot *ffconfig.Snapshot
	service  ffconfig.Service
	routes   map[string]*ffconfig.Route
}

// update replaces the configuration and reports whether it changed.
func (c *config) update(s *ffconfig.Snapshot, service string) bool {
	if s == nil || s == c.snapshot {
		return false
	}
	*c = config{snapshot: s, routes: make(map[string]*ffconfig.Route)}
	if v, ok := s.Service(service); ok {
		c.service = *v
	}
	for _, r := range s.Routes() {
		if r.Service == service {
			c.routes[r.Name] = r
		}
	}
	return true
}

func (c *config) version() ffconfig.Version {
	if c.snapshot == nil {
		return ffconfig.Version{}
	}
	return c.snapshot.Version()
}

// route returns the active route of a call. It refuses a call whose own route
// differs, because the entry uses another configuration version.
func (c *config) route(callRoute *ffconfig.Route) (*ffconfig.Route, *ffcall.Error) {
	if c.snapshot == nil {
		return nil, ffcall.Refuse("route", ffcall.KindNotReady, merry.New("no configuration is active"))
	}
	if callRoute == nil {
		return nil, ffcall.Refuse("route", ffcall.KindVersion, merry.New("the call has no route"))
	}
	r, ok := c.routes[callRoute.Name]
	if !ok {
		return nil, ffcall.Refuse("route", ffcall.KindVersion, merry.Errorf("version %s has no route %s to this service", c.version(), callRoute.Name))
	}
	if *r != *callRoute {
		return nil, ffcall.Refuse("route", ffcall.KindVersion, merry.Errorf("version %s has a different definition of route %s", c.version(), callRoute.Name))
	}
	return r, nil
}
