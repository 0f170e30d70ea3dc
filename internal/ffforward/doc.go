// Package ffforward carries calls between the daemon that accepted them and the
// daemon beside the chosen target. An attempt that goes silent is looked up by
// its call ID over a new connection, so that its outcome is known.
package ffforward
