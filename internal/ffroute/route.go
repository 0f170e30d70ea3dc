package ffroute

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Route sends the requests of one host and path prefix to a service.
type Route struct {
	Name   string `json:"name"`
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	Kind   Kind   `json:"kind"`
	// Timeout is the maximum time until a client receives a response.
	Timeout time.Duration `json:"timeout"`
	// Objective is the target latency: a response within it has the highest value.
	Objective time.Duration `json:"objective"`
	// Priority orders routes under load; 0 is the highest priority.
	Priority int `json:"priority"`
	// Attempts is the maximum number of targets that one request is sent to.
	Attempts int `json:"attempts"`
	// Split distributes the requests over services by weight.
	Split []WeightedService `json:"split"`
}

// Class returns a number that tells r from most other routes.
func (r *Route) Class() uint16 { return uint16(xxhash.Sum64String(r.Name)) }

// WeightedService is a service of a route and its weight in the traffic split.
type WeightedService struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Limits bound the size and duration of client requests and the idle time of
// client connections.
type Limits struct {
	HeaderBytes   int           `json:"headerBytes"`
	BodyBytes     int64         `json:"bodyBytes"`
	HeaderTimeout time.Duration `json:"headerTimeout"`
	IdleTimeout   time.Duration `json:"idleTimeout"`
}

// Service is a service that routes refer to.
type Service struct {
	Name string `json:"name"`
	// HealthPath is the path of a target's health check.
	HealthPath string `json:"healthPath"`
	// MaxConnections is the number of connections that a target accepts from all
	// callers together.
	MaxConnections int `json:"maxConnections"`
	// ColdTime is how long a target is cold after its start, and ColdPerSecond the number
	// of calls per second that it takes meanwhile; 0 if it takes any.
	ColdTime      time.Duration `json:"coldTime,omitempty"`
	ColdPerSecond float64       `json:"coldPerSecond,omitempty"`
}
