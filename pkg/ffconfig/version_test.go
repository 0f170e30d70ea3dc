package ffconfig_test

import (
	"testing"

	"pgregory.net/rapid"

	_ "fireflyfall.dev/fireflyfall/internal/ffseed" // fixes the seed

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

func drawVersion(t *rapid.T, label string) ffconfig.Version {
	return ffconfig.Version{
		Number: rapid.Uint64Range(0, 3).Draw(t, label+"Number"),
		Digest: ffconfig.Digest(rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, label+"Digest")),
	}
}

// Checks that NewerThan is a strict total order: asymmetric, total and transitive.
func TestVersionOrderIsTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawVersion(t, "a"), drawVersion(t, "b"), drawVersion(t, "c")
		if a.NewerThan(b) && b.NewerThan(a) {
			t.Fatalf("%v and %v are each newer than the other", a, b)
		}
		if a != b && !a.NewerThan(b) && !b.NewerThan(a) {
			t.Fatalf("neither of %v and %v is newer", a, b)
		}
		if a.NewerThan(b) && b.NewerThan(c) && !a.NewerThan(c) {
			t.Fatalf("%v, %v, %v are not in order", a, b, c)
		}
	})
}
