package ffdeclaration

import (
	"strings"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// Explanation describes the effects of one customer's contract.
type Explanation struct {
	Version  ffconfig.Version
	Contract ffconfig.Contract
	// Share is the customer's share among all customers.
	Share Share
	// Services are the customer's shares among the customers that may call the same service.
	Services []ServiceShare
	Routes   []RouteRule
}

// Share is the weight of one customer and the sum of the weights of a group that
// includes it.
type Share struct {
	Share int
	Sum   int
}

// Percent returns Share as a percentage of Sum, or 0 if Sum is 0.
func (s Share) Percent() float64 {
	const hundred = 100
	if s.Sum == 0 {
		return 0
	}
	return hundred * float64(s.Share) / float64(s.Sum)
}

// ServiceShare is the share of a customer at the targets of one service.
type ServiceShare struct {
	Service ffconfig.Service
	Share   Share
	// Others are the other customers that may call the service, sorted.
	Others []string
}

// SlotsUnderLoad returns the average number of slots of one target that the
// customer's calls use while every customer of the service has calls queued.
func (s ServiceShare) SlotsUnderLoad() float64 {
	const hundred = 100
	return float64(s.Service.Slots) * s.Share.Percent() / hundred
}

// RouteRule describes how a customer's calls on one route are handled.
type RouteRule struct {
	Route ffconfig.Route
	// AtMostOnce is set if a call is never sent again once it may have run.
	AtMostOnce bool
	// Retried is set if failed calls are retried within the retry percentage.
	Retried bool
	// Hedged is set if slow calls are hedged by a second attempt within the hedge
	// percentage.
	Hedged bool
}

// Explain describes the effects of a customer's contract. It returns an error if
// the customer is unknown.
func Explain(s *ffconfig.Snapshot, customer string) (Explanation, error) {
	c, ok := s.Contract(customer)
	if !ok {
		return Explanation{}, &Error{Op: "explain", Kind: KindName, Err: merry.Errorf("%q is not a customer; allowed are %s", customer, strings.Join(s.Customers(), ", "))}
	}
	e := Explanation{Version: s.Version(), Contract: *c, Share: Share{Share: c.Share}}
	for _, other := range contracts(s) {
		e.Share.Sum += other.Share
	}
	callers := callersOf(s)
	all := routes(s)
	explained := make(map[string]bool)
	for _, name := range c.Routes {
		r := all[name]
		e.Routes = append(e.Routes, routeRule(c, r))
		if !explained[r.Service] {
			e.Services = append(e.Services, serviceShare(s, c, r.Service, callers[r.Service]))
		}
		explained[r.Service] = true
	}
	return e, nil
}

func routeRule(c *ffconfig.Contract, r *ffconfig.Route) RouteRule {
	return RouteRule{
		Route:      *r,
		AtMostOnce: !r.Idempotent,
		Retried:    r.Idempotent && c.RetryPercent > 0,
		Hedged:     r.Idempotent && r.Class == ffconfig.ClassShort && c.HedgePercent > 0,
	}
}

func serviceShare(s *ffconfig.Snapshot, c *ffconfig.Contract, service string, callers []string) ServiceShare {
	v, _ := s.Service(service)
	share := ServiceShare{Service: *v, Share: Share{Share: c.Share}}
	for _, name := range callers {
		other, _ := s.Contract(name)
		share.Share.Sum += other.Share
		if name != c.Customer {
			share.Others = append(share.Others, name)
		}
	}
	return share
}

// callersOf returns the sorted names of the customers that may call each service.
func callersOf(s *ffconfig.Snapshot) map[string][]string {
	all := routes(s)
	callers := make(map[string][]string)
	for _, name := range s.Customers() {
		c, _ := s.Contract(name)
		counted := make(map[string]bool)
		for _, r := range c.Routes {
			service := all[r].Service
			if !counted[service] {
				callers[service] = append(callers[service], name)
			}
			counted[service] = true
		}
	}
	return callers
}
