package fffleet_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
)

// TestEvacuations checks that evacuated targets get no calls, also when they are listed
// later, that each change alters the digest, and that others are not touched.
func TestEvacuations(t *testing.T) {
	f := fffleet.New([]fffleet.Target{target("a", 5, 7, fffleet.StateReady)})
	ordered := f.WithEvacuations([]fffleet.Evacuation{{DataCentre: "z"}, {DataCentre: "unknown"}, {DataCentre: "y"}, {DataCentre: "y", Ended: true}})
	if diff := cmp.Diff([]string{"unknown", "z"}, ordered.Evacuated()); diff != "" {
		t.Error(diff)
	}
	if ordered.Digest() == f.Digest() || len(ordered.Serving("s")) != 0 || !ordered.IsEvacuated("z") {
		t.Error("the targets of z still get calls")
	}
	if later := ordered.With(change(target("a", 6, 1, fffleet.StateReady))); len(later.Serving("s")) != 0 {
		t.Error("a target that starts during the evacuation gets calls")
	}
	back := ordered.WithEvacuations([]fffleet.Evacuation{{DataCentre: "z", Ended: true}, {DataCentre: "unknown", Ended: true}})
	if back.Digest() != f.Digest() || len(back.Serving("s")) != 1 {
		t.Error("the targets of z get no calls after it was taken back")
	}
}

// TestWithoutCold checks that coldness counts as content only until it is removed.
func TestWithoutCold(t *testing.T) {
	warm := target("a", 5, 7, fffleet.StateReady)
	cold := warm
	cold.Cold = true
	f := fffleet.New([]fffleet.Target{cold})
	if f.Digest() == fffleet.New([]fffleet.Target{warm}).Digest() {
		t.Error("a cold target has the digest of a warm one")
	}
	if f.WithoutCold().Digest() != fffleet.New([]fffleet.Target{warm}).Digest() {
		t.Error("coldness is left")
	}
}
