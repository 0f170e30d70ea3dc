package ffroute

import "sync"

// Splitter divides the requests of split routes over services so that the shares
// follow the weights closely at every moment. The zero value is ready.
type Splitter struct {
	mu     sync.Mutex
	credit map[string][]int
}

// maxSplitRoutes bounds the routes whose shares are remembered.
const maxSplitRoutes = 4096

// Pick returns the service of the next request on r.
func (s *Splitter) Pick(r *Route) string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	credit := s.of(r)
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

// of returns the credits of a route. A new version keeps them unless the parts
// of the route changed in number.
func (s *Splitter) of(r *Route) []int {
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
