// Package ffseed sets a fixed seed for property tests, so that every run tests
// the same cases. Test files import it for its side effect; the flag -rapid.seed
// still takes precedence.
package ffseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag -rapid.seed
)

// seed is the seed of every property test.
const seed = "594"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
