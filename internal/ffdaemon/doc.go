// Package ffdaemon assembles and runs the proxy process beside each target, and
// shuts it down gracefully, without aborting calls in flight.
package ffdaemon
