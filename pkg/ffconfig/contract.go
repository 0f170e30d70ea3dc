package ffconfig

import "slices"

// Contract is what one customer has agreed with the operators. Every limit,
// share, route and allowance of that customer follows from it.
type Contract struct {
	// Customer is the unique name of the customer.
	Customer string `json:"customer" yaml:"customer"`
	// KeyHashes are the SHA-256 digests of the keys that authenticate the customer.
	// Two keys overlap while a key is replaced.
	KeyHashes []Digest `json:"keyHashes" yaml:"keyHashes"`
	// Share is the customer's weight at the queue of a target; at least 1.
	Share int `json:"share" yaml:"share"`
	// RatePerSecond is the number of calls a second over all data centres.
	RatePerSecond float64 `json:"ratePerSecond" yaml:"ratePerSecond"`
	// Burst is the number of calls that may come at once above the rate.
	Burst int `json:"burst" yaml:"burst"`
	// Concurrency is the number of calls in flight over all data centres.
	Concurrency int `json:"concurrency" yaml:"concurrency"`
	// RetryPercent is the number of retries allowed for each 100 calls.
	RetryPercent int `json:"retryPercent" yaml:"retryPercent"`
	// HedgePercent is the number of hedged attempts allowed for each 100 calls.
	HedgePercent int `json:"hedgePercent" yaml:"hedgePercent"`
	// MaxBodyBytes bounds the body of one request, in bytes.
	MaxBodyBytes int64 `json:"maxBodyBytes" yaml:"maxBodyBytes"`
	// MaxConnections bounds the customer's open connections to one daemon.
	MaxConnections int `json:"maxConnections" yaml:"maxConnections"`
	// Routes names the routes that the customer may call.
	Routes []string `json:"routes" yaml:"routes"`
}

// Allows reports whether the contract names the route.
func (c *Contract) Allows(route string) bool { return slices.Contains(c.Routes, route) }
