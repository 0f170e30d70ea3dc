package ffconfig_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// naiveRoute returns the name of the matching route with the longest path. It scans
// all routes and compares paths segment by segment.
func naiveRoute(routes []ffconfig.Route, method, path string) string {
	best, length := "", -1
	for _, r := range routes {
		if r.Method == method && naiveMatch(r.Path, path) && len(r.Path) > length {
			best, length = r.Name, len(r.Path)
		}
	}
	return best
}

func naiveMatch(prefix, path string) bool {
	want, have := strings.Split(prefix, "/"), strings.Split(path, "/")
	if len(have) < len(want) {
		return false
	}
	if want[len(want)-1] == "" {
		want = want[:len(want)-1]
	}
	return slices.Equal(want, have[:len(want)])
}

func drawPath(t *rapid.T, label string) string {
	segments := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "ab", ""}), 1, 4).Draw(t, label)
	return "/" + strings.Join(segments, "/")
}

// Checks that Route returns the same route as a naive scan over all routes, and
// that two routes with the same method and path are rejected.
func TestRouteAgreesWithNaiveScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawMesh(t)
		m.contracts = nil
		m.routes = slices.Repeat(m.routes[:1], rapid.IntRange(1, 8).Draw(t, "copies"))
		taken := make(map[string]bool)
		for i := range m.routes {
			m.routes[i].Name = fmt.Sprintf("route-%d", i)
			m.routes[i].Method = rapid.SampledFrom([]string{"GET", "PUT"}).Draw(t, "method")
			m.routes[i].Path = drawPath(t, "path")
			taken[m.routes[i].Method+m.routes[i].Path] = true
		}
		s, err := m.encode(t).snapshot(t)
		if len(taken) < len(m.routes) {
			if err == nil {
				t.Fatal("two routes with the same method and path are accepted")
			}
			return
		}
		if err != nil {
			t.Fatal(err)
		}
		method := rapid.SampledFrom([]string{"GET", "PUT", "HEAD"}).Draw(t, "requestMethod")
		path := drawPath(t, "requestPath")
		got, want := "", naiveRoute(m.routes, method, path)
		if r, ok := s.Route(method, path); ok {
			got = r.Name
		}
		if got != want {
			t.Fatalf("%s %s matches route %q, want %q", method, path, got, want)
		}
	})
}
