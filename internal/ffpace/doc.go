// Package ffpace decides when a gate sends the next call to a target that names how many
// calls a second it takes. It is for loads beyond such a limit, from many entries at
// once and across restarts of the gate. It has no clock, lock or output.
package ffpace
