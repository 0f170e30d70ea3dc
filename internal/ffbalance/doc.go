// Package ffbalance decides which target runs a call: the cheaper of two random
// targets from a bounded subset, by the queue that each reported in its answers,
// the calls in flight from this daemon and the recent latency.
package ffbalance
