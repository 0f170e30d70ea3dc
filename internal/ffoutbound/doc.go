// Package ffoutbound implements the entry of a daemon, the handler of the requests
// that clients on its VM send. It picks a target for each request, retries where the
// route allows it, and answers before the client's deadline.
package ffoutbound
