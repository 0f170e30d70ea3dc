// Package ffnode assembles the daemon that forwards the requests of a mesh: the
// entry, the gate, and the distribution of the store's content by gossip. It starts
// them, and drains them at the stop so that no request is interrupted.
package ffnode
