package fflimit

import "time"

// Durations for which a grant may be used, from when its request was sent.
const (
	// tokenTerm is the time for which a batch of tokens may be used.
	tokenTerm = time.Second
	// borrowedTokenTerm is the time for which an allocator may grant borrowed tokens.
	borrowedTokenTerm = 500 * time.Millisecond
	// permitTerm is the time for which a daemon may use a grant of permits.
	permitTerm = 3 * time.Second
	// loanTerm is the time for which a cell may use borrowed permits.
	loanTerm = 8 * time.Second
)

// Durations for which an allocator counts granted permits as used, from when it
// received the request. They exceed the terms by more than clocks differ in speed.
const (
	permitReservation = permitTerm + permitTerm/clockSkewDivisor
	loanReservation   = loanTerm + loanTerm/clockSkewDivisor
	// maxReservation is the longest of them.
	maxReservation = loanReservation
)

// clockSkewDivisor sets the part of a term that covers the difference in clock speed:
// one tenth.
const clockSkewDivisor = 10

// Times between requests.
const (
	minRequestInterval = 100 * time.Millisecond
	maxRequestInterval = 20 * time.Second
	loanInterval       = 250 * time.Millisecond
	// failedRequestWait is the time between requests while the allocator does not respond.
	failedRequestWait = 500 * time.Millisecond
	// refusedWait is the time between requests to a daemon that does not allocate for the
	// cell.
	refusedWait = time.Second
	// targetRequestsPerSecond is the rate of requests for one customer that an allocator
	// aims at, for the holders that can use tokens and again for those that cannot.
	targetRequestsPerSecond = 25
)
