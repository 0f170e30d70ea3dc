// Package ffhop carries one HTTP exchange at a time over kept connections and
// tells after a failure whether any byte of the request went out.
package ffhop
