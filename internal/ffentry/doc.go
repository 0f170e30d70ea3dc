// Package ffentry takes a call from a caller to its answer: it authenticates the
// customer, admits the call within the contract, chooses a target, and decides
// on retries and hedged attempts. It is the only layer that sends a call again.
package ffentry
