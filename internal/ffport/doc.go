// Package ffport opens TCP ports that close without a reset of connections that
// are being made.
package ffport
