// Package ffclient calls services through the daemons of fireflyfall. It tells
// whether a call ran, and asks again with a token without running a call twice.
package ffclient
