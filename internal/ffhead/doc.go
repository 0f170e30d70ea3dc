// Package ffhead checks the heads of HTTP messages for what net/http accepts although it is
// not valid.
package ffhead
