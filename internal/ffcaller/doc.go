// Package ffcaller serves the callers over HTTP: it reads their requests within
// bounds, hands them to the entry, and answers with the outcome of each.
package ffcaller
