package fflimit

import "time"

// Times for which what was granted may be used, from when it was asked for.
const (
	// tokenTerm is the time for which a batch of tokens may be used.
	tokenTerm = time.Second
	// potTerm is the time for which an allocator may pass on borrowed tokens.
	potTerm = 500 * time.Millisecond
	// permitTerm is the time for which a daemon may use a grant of permits.
	permitTerm = 3 * time.Second
	// loanTerm is the time for which a cell may use borrowed permits.
	loanTerm = 8 * time.Second
)

// Times for which a giver counts permits as used, from when it was asked. They
// are longer than the terms by more than clocks differ in speed.
const (
	permitHold = permitTerm + permitTerm/skewMargin
	loanHold   = loanTerm + loanTerm/skewMargin
	// holdTerm is the longest of them.
	holdTerm = loanHold
)

// skewMargin is the divisor of a term that covers the difference in clock speed: a tenth.
const skewMargin = 10

// Times between asks.
const (
	minAskInterval = 100 * time.Millisecond
	maxAskInterval = 20 * time.Second
	tradeInterval  = 250 * time.Millisecond
	// failedAskWait is the time between asks while the allocator does not answer.
	failedAskWait = 500 * time.Millisecond
	// refusedWait is the time between asks while the other side does not allocate.
	refusedWait = time.Second
	// reportersPerSecond is the number of asks a second that an allocator takes for
	// one customer, from those that hold permits and as many from those that do not.
	reportersPerSecond = 25
)
