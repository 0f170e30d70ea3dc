// Package ffsoak runs a whole deployment under load, new versions and faults
// drawn from a seed, and judges each promise of the brief from what targets,
// callers and daemons recorded.
package ffsoak
