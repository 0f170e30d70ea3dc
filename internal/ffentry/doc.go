// Package ffentry executes the calls of callers: it authenticates the customer,
// admits the call within the contract, chooses a target, and retries and hedges
// attempts. It is the only layer that sends a call more than once.
package ffentry
