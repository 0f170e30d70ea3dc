// Package fffleet holds the known targets of a deployment: which service each
// runs, at which address, and since when.
package fffleet
