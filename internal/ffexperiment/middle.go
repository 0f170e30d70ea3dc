package ffexperiment

import (
	"cmp"
	"slices"
)

// middle returns the figures of the round with the median at the 99th percentile.
func middle(rounds []addedFigures) addedFigures {
	sorted := slices.SortedFunc(slices.Values(rounds), func(a, b addedFigures) int {
		return cmp.Compare(a.P99Millis, b.P99Millis)
	})
	return sorted[len(sorted)/2]
}
