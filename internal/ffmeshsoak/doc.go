// Package ffmeshsoak runs daemons of a mesh as real processes against stand-ins of
// the platform, harms them from outside, and judges from what clients and targets
// saw whether the promises held.
package ffmeshsoak
