// Package ffmesh holds what the two ends of a request's way share: the call that
// an entry hands to a gate, the reply that comes back, and the small interfaces
// between them.
package ffmesh
