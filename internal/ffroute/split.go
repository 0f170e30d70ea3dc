package ffroute

import "sync"

// Splitter distributes the requests of each route over its services by smooth
// weighted round-robin, so that the shares stay close to the weights at any time.
// The zero value is ready to use.
type Splitter struct {
	mu     sync.Mutex
	credit map[string][]int
}

// maxSplitRoutes is the maximum number of routes with stored credits; when it is
// reached, all credits are reset.
const maxSplitRoutes = 4096

// Pick returns the service of the next request on r.
func (s *Splitter) Pick(r *Route) string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	credit := s.routeCredits(r)
	total, best := 0, 0
	for i, p := range r.Split {
		credit[i] += p.Weight
		total += p.Weight
		if credit[i] > credit[best] {
			best = i
		}
	}
	credit[best] -= total
	return r.Split[best].Service
}

// routeCredits returns the credits of the services of r. A new version of r keeps
// them unless its number of services has changed. The caller holds s.mu.
func (s *Splitter) routeCredits(r *Route) []int {
	if s.credit == nil || len(s.credit) >= maxSplitRoutes {
		s.credit = make(map[string][]int)
	}
	credit, ok := s.credit[r.Name]
	if !ok || len(credit) != len(r.Split) {
		credit = make([]int, len(r.Split))
		s.credit[r.Name] = credit
	}
	return credit
}
