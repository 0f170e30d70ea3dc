package ffbudget

import "time"

// Config is the retry budget of a fleet for the requests to one service.
type Config struct {
	// Ratio is the number of retries allowed per request in each Window, and MinRetries
	// the number allowed regardless of requests.
	Ratio      float64
	MinRetries float64
	Window     time.Duration
}
