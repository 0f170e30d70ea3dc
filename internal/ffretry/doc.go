// Package ffretry decides whether the daemon that accepted a call sends it
// again, asks what became of it, or gives up, and when it hedges a short call.
// Every allowance follows from the customer's contract.
package ffretry
