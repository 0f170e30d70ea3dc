// Package ffforward sends calls from the daemon that accepted them to the daemon of
// the chosen target. If an attempt gets no response, its outcome is looked up by
// call ID over a new connection.
package ffforward
