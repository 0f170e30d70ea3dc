// Package ffhedge decides when an idempotent call that is slow is also sent to a second
// target, and how much work these copies may cost. It is for services of which a few
// answers take many times as long as most. It has no clock, lock or output.
package ffhedge
