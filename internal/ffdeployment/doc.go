// Package ffdeployment runs a complete deployment as separate processes on loopback: a
// stand-in for the platform and, for each VM, a daemon and a stand-in for its target.
// Only test programs and fireflyload use it.
package ffdeployment
