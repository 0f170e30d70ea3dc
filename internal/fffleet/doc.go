// Package fffleet holds what is known of the targets of a deployment: who serves
// what, where, and since when.
package fffleet
