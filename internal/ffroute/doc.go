// Package ffroute decides which service serves a request: routes by host and
// path prefix, their kinds, and the split of a route over services.
package ffroute
