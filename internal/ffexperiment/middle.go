package ffexperiment

import (
	"cmp"
	"slices"
)

// medianRound returns the round with the median P99Millis.
func medianRound(rounds []addedFigures) addedFigures {
	sorted := slices.SortedFunc(slices.Values(rounds), func(a, b addedFigures) int {
		return cmp.Compare(a.P99Millis, b.P99Millis)
	})
	return sorted[len(sorted)/2]
}
