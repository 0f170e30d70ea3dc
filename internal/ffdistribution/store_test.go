package ffdistribution_test

import (
	"testing"

	"fireflyfall.dev/fireflyfall/internal/ffdistribution"
)

// BenchmarkApplyOneChange applies versions of about 1,000 pieces, each with one route changed.
func BenchmarkApplyOneChange(b *testing.B) {
	const routes = 1000
	store := &ffdistribution.Store{}
	releases := make([]release, b.N)
	for i := range releases {
		releases[i] = newAmendedRelease(uint64(i+1), routes)
	}
	b.ResetTimer()
	for _, r := range releases {
		if err := store.Apply(r.manifest, r.pieces); err != nil {
			b.Fatal(err)
		}
	}
}
