// Package ffroute selects the service for a request: it matches routes by host and
// path prefix and splits the traffic of a route over services by weight.
package ffroute
