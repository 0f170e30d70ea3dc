// Package ffclient calls services through the daemons of fireflyfall. It
// reports whether a call ran, and retries a call with a token without running it twice.
package ffclient
