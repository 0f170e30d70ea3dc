// Package ffgenerator is an open-loop load generator: each call starts at its
// scheduled time, whether earlier calls have been answered or not, and its latency
// is measured from that time.
package ffgenerator
