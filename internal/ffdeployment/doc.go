// Package ffdeployment starts a whole deployment as separate processes on
// loopback: the platform's stand-in, and a target's stand-in and a daemon for
// each VM. Only test programs and fireflyload use it.
package ffdeployment
