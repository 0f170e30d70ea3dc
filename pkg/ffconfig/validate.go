package ffconfig

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// Bounds of the fields of a configuration.
const (
	MaxNameLength      = 63
	MaxRatePerSecond   = 1_000_000
	MaxConcurrency     = 1_000_000
	MaxShare           = 1_000
	MaxPercent         = 100
	MaxBodyBytes       = 64 << 20
	MaxSlots           = 10_000
	MaxConnections     = 100_000
	MaxQueueLength     = 100_000
	MaxTimeoutMillis   = 3_600_000
	maxKeysPerContract = 8
)

// Fault describes an invalid value of one field.
type Fault struct {
	Field   string
	Message string
}

// Validate returns a fault for each invalid field of the contract.
func (c *Contract) Validate() []Fault {
	var f faults
	f.name("customer", c.Customer)
	f.between("keyHashes", int64(len(c.KeyHashes)), 1, maxKeysPerContract)
	for _, h := range c.KeyHashes {
		f.require("keyHashes", h.Valid(), "each must be a SHA-256 digest of 64 lower-case hexadecimal digits")
	}
	f.between("share", int64(c.Share), 1, MaxShare)
	f.require("ratePerSecond", c.RatePerSecond > 0 && c.RatePerSecond <= MaxRatePerSecond, "must be above 0 and at most 1000000")
	f.between("burst", int64(c.Burst), 1, MaxRatePerSecond)
	f.between("concurrency", int64(c.Concurrency), 1, MaxConcurrency)
	f.between("retryPercent", int64(c.RetryPercent), 0, MaxPercent)
	f.between("hedgePercent", int64(c.HedgePercent), 0, MaxPercent)
	f.between("maxBodyBytes", c.MaxBodyBytes, 0, MaxBodyBytes)
	f.between("maxConnections", int64(c.MaxConnections), 1, MaxConnections)
	f.names("routes", c.Routes)
	return f
}

// Validate returns a fault for each invalid field of the service.
func (s *Service) Validate() []Fault {
	var f faults
	f.name("service", s.Name)
	f.names("resources", s.Resources)
	f.between("slots", int64(s.Slots), 1, MaxSlots)
	f.between("longSlots", int64(s.LongSlots), 0, int64(s.maxLongSlots()))
	f.between("connections", int64(s.Connections), 1, MaxConnections)
	f.require("connections", s.Connections < 1 || s.Connections >= s.Slots, "is %d, but slots is %d; each slot needs a connection of its own", s.Connections, s.Slots)
	f.between("queueLength", int64(s.QueueLength), 1, MaxQueueLength)
	return f
}

// maxLongSlots returns the maximum of LongSlots, which leaves one slot for short
// work. If Slots is below 1, it is the maximum for any service.
func (s *Service) maxLongSlots() int {
	if s.Slots < 1 {
		return MaxSlots - 1
	}
	return s.Slots - 1
}

// reservedPath is the prefix of the paths that the daemon serves itself.
const reservedPath = "/v1/"

var methods = []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}

var methodNames = strings.Join(methods, ", ")

// Validate returns a fault for each invalid field of the route.
func (r *Route) Validate() []Fault {
	var f faults
	f.name("route", r.Name)
	f.require("method", slices.Contains(methods, r.Method), "must be one of %s", methodNames)
	f.require("path", strings.HasPrefix(r.Path, "/") && !strings.ContainsAny(r.Path, "?# "), "must start with / and hold no ?, # or space")
	f.require("path", !strings.HasPrefix(r.Path+"/", reservedPath), "must not start with %s, which the daemon serves itself", reservedPath)
	f.name("service", r.Service)
	f.name("resource", r.Resource)
	f.between("timeoutMillis", r.TimeoutMillis, 1, MaxTimeoutMillis)
	return f
}

type faults []Fault

// require adds a fault unless ok. It formats the message only then, since every
// daemon validates every new piece of every version.
func (f *faults) require(field string, ok bool, format string, args ...any) {
	if !ok {
		*f = append(*f, Fault{Field: field, Message: fmt.Sprintf(format, args...)})
	}
}

func (f *faults) between(field string, n, low, high int64) {
	f.require(field, n >= low && n <= high, "is %d, allowed are %d to %d", n, low, high)
}

func (f *faults) name(field, name string) {
	f.require(field, validName(name), "%q is not a name: 1 to 63 lower-case letters, digits or hyphens", name)
}

func (f *faults) names(field string, names []string) {
	f.require(field, len(names) > 0, "must name at least one")
	for i, n := range names {
		f.name(field, n)
		f.require(field, !slices.Contains(names[:i], n), "names %s twice", n)
	}
}

func validName(name string) bool {
	if name == "" || len(name) > MaxNameLength || name[0] == '-' {
		return false
	}
	return strings.Trim(name, "abcdefghijklmnopqrstuvwxyz0123456789-") == ""
}
