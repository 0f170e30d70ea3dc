// Package ffport provides a TCP listener that can be closed without resetting
// connections that are still being established.
package ffport
