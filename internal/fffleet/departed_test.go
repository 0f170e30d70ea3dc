package fffleet_test

import (
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
)

// TestDepartedEntry guards against calls to a removed target whose older entry is listed
// again, and against none to one that lives and writes a newer entry.
func TestDepartedEntry(t *testing.T) {
	now := time.Unix(1000, 0)
	removed := []fffleet.Target{target("a", 5, 7, fffleet.StateReady)}
	d := fffleet.Departed{}.With(removed, now.Add(time.Minute), now)
	for name, tc := range map[string]struct {
		entry fffleet.Target
		want  int
	}{
		"same entry":        {target("a", 5, 7, fffleet.StateReady), 0},
		"earlier heartbeat": {target("a", 5, 3, fffleet.StateReady), 0},
		"earlier run":       {target("a", 4, 9, fffleet.StateReady), 0},
		"later heartbeat":   {target("a", 5, 8, fffleet.StateReady), 1},
		"later run":         {target("a", 6, 1, fffleet.StateReady), 1},
		"no start time":     {target("a", 0, 1, fffleet.StateReady), 1},
		"other target":      {target("b", 5, 7, fffleet.StateReady), 1},
	} {
		f := fffleet.New([]fffleet.Target{tc.entry})
		if n := len(f.WithDeparted(d).Serving("s")); n != tc.want {
			t.Errorf("%s: %d targets serve, want %d", name, n, tc.want)
		}
		if n := len(f.WithDeparted(fffleet.Departed{}.Union(d)).Serving("s")); n != tc.want {
			t.Errorf("%s: %d targets serve in the next epoch, want %d", name, n, tc.want)
		}
		if n := len(f.WithDeparted(d.With(nil, now, now.Add(time.Minute))).Serving("s")); n != 1 {
			t.Errorf("%s: the removal is not forgotten", name)
		}
	}
}
