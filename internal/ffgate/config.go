package ffgate

import (
	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// config is what the snapshot in force says of the target's service.
type config struct {
	snapshot *ffconfig.Snapshot
	service  ffconfig.Service
	routes   map[string]*ffconfig.Route
}

// take replaces the configuration and reports whether it changed.
func (c *config) take(s *ffconfig.Snapshot, service string) bool {
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

// route returns the route of a call as this daemon has it in force. A call that
// took the route with another meaning is refused.
func (c *config) route(taken *ffconfig.Route) (*ffconfig.Route, *ffcall.Error) {
	if c.snapshot == nil {
		return nil, ffcall.Refuse("route", ffcall.KindNotReady, merry.New("no configuration is in force"))
	}
	if taken == nil {
		return nil, ffcall.Refuse("route", ffcall.KindVersion, merry.New("the call has no route"))
	}
	r, ok := c.routes[taken.Name]
	if !ok {
		return nil, ffcall.Refuse("route", ffcall.KindVersion, merry.Errorf("version %s has no route %s to this service", c.version(), taken.Name))
	}
	if *r != *taken {
		return nil, ffcall.Refuse("route", ffcall.KindVersion, merry.Errorf("version %s has another route %s", c.version(), taken.Name))
	}
	return r, nil
}
