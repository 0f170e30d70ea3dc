package ffoutbound_test

import (
	"net/netip"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
	"fireflyfall.dev/fireflyfall/internal/ffmesh"
	"fireflyfall.dev/fireflyfall/internal/ffoutbound"
)

func vm(n byte) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, n}) }

func targets() fffleet.Fleet {
	var all []fffleet.Target
	for n := byte(1); n <= 3; n++ {
		centre := "a"
		if n == 3 {
			centre = "b"
		}
		all = append(all, fffleet.Target{
			ID: string('a' + rune(n)), Service: "s", Address: netip.AddrPortFrom(vm(n), 80), DataCentre: centre, Slots: 4,
		})
	}
	return fffleet.New(all)
}

// TestPick checks that the choice depends on waiting, network, failures and closed
// gates.
func TestPick(t *testing.T) {
	const typical = 50 * time.Millisecond
	idle := func(n byte) ffmesh.Load {
		return ffmesh.Load{Target: string('a' + rune(n)), Slots: 4, Typical: typical}
	}
	for name, tc := range map[string]struct {
		change func(loads []ffmesh.Load)
		body   int64
		want   map[byte]bool
	}{
		"free target over full ones":         {func(l []ffmesh.Load) { l[0].Running, l[0].Queued, l[1].Running, l[1].Queued = 4, 6, 4, 6 }, 0, map[byte]bool{3: true}},
		"long body stays in the data centre": {func(l []ffmesh.Load) { l[0].Running, l[1].Running = 3, 3 }, 100_000, map[byte]bool{1: true, 2: true}},
		"failing targets avoided":            {func(l []ffmesh.Load) { l[0].Failing, l[1].Failing = 0.9, 0.9 }, 0, map[byte]bool{3: true}},
		"closed targets avoided":             {func(l []ffmesh.Load) { l[0].Closed, l[2].Closed = true, true }, 0, map[byte]bool{2: true}},
		"slow targets avoided":               {func(l []ffmesh.Load) { l[0].Typical, l[1].Typical = 4*typical, 4*typical }, 0, map[byte]bool{3: true}},
		"load of a replaced target ignored": {func(l []ffmesh.Load) {
			l[0] = ffmesh.Load{Target: "gone", Typical: time.Millisecond}
			l[2].Closed = true
			l[1].Closed = true
		}, 0, map[byte]bool{1: true}},
	} {
		for range 20 {
			board := &ffoutbound.LoadTracker{}
			loads := []ffmesh.Load{idle(1), idle(2), idle(3)}
			tc.change(loads)
			now := time.Now()
			for i, l := range loads {
				board.RecordHeartbeat(ffoutbound.Location{VM: vm(byte(i + 1))}, l, false, now, now.Add(time.Second))
			}
			p := ffoutbound.Picker{Location: ffoutbound.Location{VM: vm(9), DataCentre: "a"}, Loads: board}
			c := &ffmesh.Call{Service: "s", Length: tc.body, Deadline: now.Add(time.Second)}
			choice, ok := p.Pick(targets(), c, nil, now)
			if got := choice.Target.VM().As4()[3]; !ok || !tc.want[got] {
				t.Errorf("%s: picked %d", name, got)
			}
		}
	}
}

// TestUnmeasuredTarget checks that a target without a measured service time is tried
// although another one is idle and fast.
func TestUnmeasuredTarget(t *testing.T) {
	fleet := fffleet.New([]fffleet.Target{
		{ID: "old", Service: "s", Address: netip.MustParseAddrPort("10.0.0.2:1"), Slots: 4},
		{ID: "new", Service: "s", Address: netip.MustParseAddrPort("10.0.0.3:1"), Slots: 4},
	})
	now := time.Now()
	board := &ffoutbound.LoadTracker{}
	board.RecordHeartbeat(ffoutbound.Location{VM: netip.MustParseAddr("10.0.0.2")}, ffmesh.Load{Target: "old", Slots: 4, Typical: time.Millisecond}, false, now, now.Add(time.Minute))
	board.RecordHeartbeat(ffoutbound.Location{VM: netip.MustParseAddr("10.0.0.3")}, ffmesh.Load{Target: "new", Slots: 4}, false, now, now.Add(time.Minute))
	picker := &ffoutbound.Picker{Location: ffoutbound.Location{VM: netip.MustParseAddr("10.0.0.1")}, Loads: board}
	picked := make(map[string]int)
	const picks = 200
	for range picks {
		choice, ok := picker.Pick(fleet, &ffmesh.Call{Service: "s", Objective: now.Add(time.Second), Deadline: now.Add(time.Second)}, nil, now)
		if !ok {
			t.Fatal("no target was picked")
		}
		picked[choice.Target.ID]++
	}
	if picked["new"] < picks/4 || picked["old"] < picks/4 {
		t.Errorf("picked %v of %d", picked, picks)
	}
}
