package fflimit

import "time"

// Request is a request of a daemon, or of the allocator of another cell, to an allocator
// for tokens and permits of one customer.
type Request struct {
	Customer string
	// Cell is the name of the cell whose quota is requested.
	Cell string
	// Holder identifies the requester, unique for each start of a daemon.
	Holder string
	// Seq increases with each request of a holder.
	Seq uint64
	// Loan reports that the requester is another cell.
	Loan bool
	// Tokens is the number of calls that the holder wants to admit soon.
	Tokens int
	// Permits is the number of calls in flight that the holder wants to hold.
	Permits int
	// Holding is the number of permits that the holder still uses or may use.
	Holding int
	// Demand is the number of calls per second that the holder receives.
	Demand float64
}

// Response is an allocator's response to a request. The holder may use the tokens and
// permits for fixed terms from when it sent the request.
type Response struct {
	Customer string
	Cell     string
	Seq      uint64
	Tokens   int
	Permits  int
	// Wait is the minimum time before the holder's next request.
	Wait time.Duration
}
