// Package ffbalance decides which target runs a call: two random choices among
// a bounded subset, compared by what answers told of each target's queue, by the
// calls in flight from this daemon and by recent latency.
package ffbalance
