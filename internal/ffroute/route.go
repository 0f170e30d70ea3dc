package ffroute

import "time"

// Route sends the requests of one host and path prefix to a service.
type Route struct {
	Name   string `json:"name"`
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	Kind   Kind   `json:"kind"`
	// Timeout is the longest time that a client is kept waiting.
	Timeout time.Duration `json:"timeout"`
	// Objective is the latency within which an answer is worth most.
	Objective time.Duration `json:"objective"`
	// Priority orders routes under load; 0 goes first.
	Priority int `json:"priority"`
	// Attempts bounds the targets that one request is sent to.
	Attempts int `json:"attempts"`
	// Split divides the requests over services by weight.
	Split []Part `json:"split"`
}

// Part is the share of one service in a route.
type Part struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Limits bound what a client may send and how long it may take.
type Limits struct {
	HeaderBytes   int           `json:"headerBytes"`
	BodyBytes     int64         `json:"bodyBytes"`
	HeaderTimeout time.Duration `json:"headerTimeout"`
	IdleTimeout   time.Duration `json:"idleTimeout"`
}

// Service is one service that routes lead to.
type Service struct {
	Name string `json:"name"`
	// HealthPath answers whether a target is healthy.
	HealthPath string `json:"healthPath"`
	// MaxConnections is what a target accepts from all its callers together.
	MaxConnections int `json:"maxConnections"`
}
