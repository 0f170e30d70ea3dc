// Package ffoutbound is the entry: it takes the requests that begin on its VM,
// picks a target for each, repeats what may be repeated, and answers on time.
package ffoutbound
