package fflimit

import "time"

// Ask is what a daemon, or the allocator of another cell, asks of an allocator
// for one customer.
type Ask struct {
	Customer string
	// Cell names the cell whose part is asked for.
	Cell string
	// Holder names who asks, unique for each start of a daemon.
	Holder string
	// Seq rises with each ask of a holder.
	Seq uint64
	// Loan tells that another cell asks.
	Loan bool
	// Tokens is the number of calls that the holder wants to admit soon.
	Tokens int
	// Permits is the number of calls in flight that the holder wants to hold.
	Permits int
	// Holding is the number of permits that the holder still uses or may use.
	Holding int
	// Demand is the number of calls a second that the holder sees.
	Demand float64
}

// Answer is what an allocator grants. The holder may use tokens and permits for
// fixed terms from when it sent the ask.
type Answer struct {
	Customer string
	Cell     string
	Seq      uint64
	Tokens   int
	Permits  int
	// Wait is the time that the holder shall leave before its next ask.
	Wait time.Duration
}
