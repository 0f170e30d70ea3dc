// Package ffload implements the fireflyload command, whose subcommands run whole
// deployments on loopback: the demo, the experiments and the soak tests under
// open-loop load, and the report on experiments.
package ffload
