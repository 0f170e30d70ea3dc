package ffconfig

import "strings"

// Route sends the calls of one method below one path to a resource of a service.
type Route struct {
	// Name is the unique name of the route.
	Name string `json:"route" yaml:"route"`
	// Method is the HTTP method.
	Method string `json:"method" yaml:"method"`
	// Path is the path prefix, a whole number of path segments.
	Path string `json:"path" yaml:"path"`
	// Service names the service that runs the calls.
	Service string `json:"service" yaml:"service"`
	// Resource names the resource of the service that the calls need.
	Resource string `json:"resource" yaml:"resource"`
	// Class tells short work from long work.
	Class Class `json:"class" yaml:"class"`
	// Idempotent tells that a call may run more than once without harm.
	Idempotent bool `json:"idempotent" yaml:"idempotent"`
	// TimeoutMillis bounds the time from acceptance to the whole answer, in milliseconds.
	TimeoutMillis int64 `json:"timeoutMillis" yaml:"timeoutMillis"`
}

// Matches reports whether a request with this method and path takes the route.
func (r *Route) Matches(method, path string) bool {
	if r.Method != method || !strings.HasPrefix(path, r.Path) {
		return false
	}
	rest := path[len(r.Path):]
	return rest == "" || rest[0] == '/' || strings.HasSuffix(r.Path, "/")
}
