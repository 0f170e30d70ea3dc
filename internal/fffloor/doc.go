// Package fffloor decides which classes of calls go first at a target that takes far fewer
// calls than it is asked for, so that strict priority leaves none of them unserved. It has no
// input, output, locks or clocks.
package fffloor
