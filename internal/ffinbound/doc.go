// Package ffinbound implements the gate of a daemon, the admission control for the
// target on its VM. It queues calls for the target's slots, refuses those that cannot
// finish in time, and sends each call to the target at most once.
package ffinbound
