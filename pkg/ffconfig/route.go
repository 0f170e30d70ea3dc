package ffconfig

import "strings"

// Route maps requests with one method and path prefix to a resource of a service.
type Route struct {
	// Name is the unique name of the route.
	Name string `json:"route" yaml:"route"`
	// Method is the HTTP method.
	Method string `json:"method" yaml:"method"`
	// Path is the path prefix; it matches complete path segments only.
	Path string `json:"path" yaml:"path"`
	// Service is the name of the service that runs the calls.
	Service string `json:"service" yaml:"service"`
	// Resource is the name of the resource of the service that the calls need.
	Resource string `json:"resource" yaml:"resource"`
	// Class distinguishes short from long work.
	Class Class `json:"class" yaml:"class"`
	// Idempotent is set if a call may safely run more than once.
	Idempotent bool `json:"idempotent" yaml:"idempotent"`
	// TimeoutMillis limits the time from accepting a call to the end of its response,
	// in milliseconds.
	TimeoutMillis int64 `json:"timeoutMillis" yaml:"timeoutMillis"`
}

// Matches reports whether a request with this method and path matches the route.
func (r *Route) Matches(method, path string) bool {
	if r.Method != method || !strings.HasPrefix(path, r.Path) {
		return false
	}
	rest := path[len(r.Path):]
	return rest == "" || rest[0] == '/' || strings.HasSuffix(r.Path, "/")
}
