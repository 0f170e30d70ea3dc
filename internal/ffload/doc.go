// Package ffload holds the programs that run whole deployments on loopback: the
// demo, open-loop load, the experiments, the soak and the report.
package ffload
