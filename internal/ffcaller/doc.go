// Package ffcaller implements the HTTP server for callers: it limits and reads
// their requests, passes them to ffentry, and responds with the outcome of each.
package ffcaller
