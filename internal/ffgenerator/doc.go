// Package ffgenerator sends calls in an open loop: each call starts at its time,
// whether earlier ones were answered or not, and its latency counts from then.
package ffgenerator
