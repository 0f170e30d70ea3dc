package ffoutbound_test

import (
	"net/netip"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
	"fireflyfall.dev/fireflyfall/internal/ffmesh"
	"fireflyfall.dev/fireflyfall/internal/ffoutbound"
)

// TestCallsInTimeStayNear guards against calls that cross to another data centre although a
// target in the own one has a free slot and will answer in time: 200 calls at a service
// whose targets there are a third slower, in use to a share, with a third of all silent
// daemons far away.
func TestCallsInTimeStayNear(t *testing.T) {
	for name, tc := range map[string]struct {
		// running is the number of calls at each near target, of four slots, which take
		// nearTypical.
		running     int
		nearTypical time.Duration
		objective   time.Duration
		// leastNear and mostNear bound the share of calls that stay.
		leastNear, mostNear float64
	}{
		"half in use":              {2, 120 * time.Millisecond, 500 * time.Millisecond, 1, 1},
		"no free slot":             {8, 120 * time.Millisecond, 500 * time.Millisecond, 0, 0.1},
		"too slow":                 {2, 480 * time.Millisecond, 500 * time.Millisecond, 0, 0.1},
		"returned, little is left": {2, 120 * time.Millisecond, 60 * time.Millisecond, 0, 0.9},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			loads := &ffoutbound.LoadTracker{}
			var targets []fffleet.Target
			for i := range 9 {
				vm := netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)})
				dc, load := "far", ffmesh.Load{Target: vm.String(), Running: 1, Slots: 4, Typical: 80 * time.Millisecond}
				if i < 3 {
					dc, load.Running, load.Typical = "near", tc.running, tc.nearTypical
				}
				targets = append(targets, fffleet.Target{ID: vm.String(), Service: "s", Address: netip.AddrPortFrom(vm, 1), DataCentre: dc, Slots: 4})
				silentAt := now.Add(time.Second)
				if i >= 6 {
					silentAt = now.Add(-time.Second)
				}
				loads.RecordHeartbeat(ffoutbound.Location{VM: vm, DataCentre: dc}, load, false, now, silentAt)
			}
			p := &ffoutbound.Picker{Location: ffoutbound.Location{VM: netip.MustParseAddr("10.0.1.1"), DataCentre: "near"}, Loads: loads}
			fleet := fffleet.New(targets)
			stayed := 0
			const calls = 200
			for range calls {
				c := &ffmesh.Call{Service: "s", Objective: now.Add(tc.objective), Deadline: now.Add(time.Second)}
				if choice, ok := p.Pick(fleet, c, nil, now); ok && choice.Target.DataCentre == "near" {
					stayed++
				}
			}
			if share := float64(stayed) / calls; share < tc.leastNear || share > tc.mostNear {
				t.Errorf("%.2f of the calls stayed, want %.2f to %.2f", share, tc.leastNear, tc.mostNear)
			}
		})
	}
}
