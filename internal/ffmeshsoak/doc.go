// Package ffmeshsoak runs the daemons of a mesh as real processes against stand-ins of
// the platform, injects faults from outside, and checks from the records of clients and
// targets whether the promises to the users were kept.
package ffmeshsoak
