// Package ffinbound is the gate before the target beside the daemon: it orders
// the calls that wait for a slot, refuses those that cannot be in time, and
// passes each call on once.
package ffinbound
