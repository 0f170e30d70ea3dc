// Package ffsoak runs a deployment under load while it publishes versions and
// injects faults from a seeded schedule, and checks each promise of the brief
// against the records of targets, callers and daemons.
package ffsoak
