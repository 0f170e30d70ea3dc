package ffconfig

import "slices"

// Contract holds the terms agreed with one customer: keys, queue share, limits,
// routes, and the retry and hedge percentages.
type Contract struct {
	// Customer is the unique name of the customer.
	Customer string `json:"customer" yaml:"customer"`
	// KeyHashes are the SHA-256 digests of the keys that authenticate the customer.
	// Two keys overlap while a key is replaced.
	KeyHashes []Digest `json:"keyHashes" yaml:"keyHashes"`
	// Share is the customer's weight in the queue of a target; at least 1.
	Share int `json:"share" yaml:"share"`
	// RatePerSecond is the number of calls a second over all data centres.
	RatePerSecond float64 `json:"ratePerSecond" yaml:"ratePerSecond"`
	// Burst is the number of calls that may arrive at once above the rate.
	Burst int `json:"burst" yaml:"burst"`
	// Concurrency is the number of calls in flight over all data centres.
	Concurrency int `json:"concurrency" yaml:"concurrency"`
	// RetryPercent is the number of retries allowed for each 100 calls.
	RetryPercent int `json:"retryPercent" yaml:"retryPercent"`
	// HedgePercent is the number of hedged attempts allowed for each 100 calls.
	HedgePercent int `json:"hedgePercent" yaml:"hedgePercent"`
	// MaxBodyBytes is the maximum body size of one request, in bytes.
	MaxBodyBytes int64 `json:"maxBodyBytes" yaml:"maxBodyBytes"`
	// MaxConnections is the maximum number of the customer's open connections to one daemon.
	MaxConnections int `json:"maxConnections" yaml:"maxConnections"`
	// Routes lists the names of the routes that the customer may call.
	Routes []string `json:"routes" yaml:"routes"`
}

// Allows reports whether the contract lists the route.
func (c *Contract) Allows(route string) bool { return slices.Contains(c.Routes, route) }
