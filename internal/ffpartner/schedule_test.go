package ffpartner_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffdelegate"
	"fireflyfall.dev/fireflyfall/internal/ffpartner"
)

func members(n int) []ffdelegate.Member {
	var all []ffdelegate.Member
	for i := range n {
		all = append(all, ffdelegate.Member{VM: netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), DataCentre: fmt.Sprint("z", i%5)})
	}
	return all
}

// TestRounds checks that a daemon sends at most 40 heartbeats a second whatever the
// size of the fleet, and that each entry that calls gets its next one no later than
// announced.
func TestRounds(t *testing.T) {
	for _, tc := range []struct{ others, callers int }{{9, 9}, {29, 12}, {299, 0}, {299, 40}, {5161, 40}} {
		var s ffpartner.Schedule
		rng := rand.New(rand.NewPCG(1, 2))
		others := members(tc.others)
		callers := slices.Clone(others[:tc.callers])
		now := time.Unix(1000, 0)
		due := make(map[netip.Addr]time.Time)
		for range 100 {
			for _, m := range callers {
				s.Called(m.VM, now)
			}
			round := s.Next(others, "z0", now, rng)
			if perSecond := len(round) * int(time.Second/ffpartner.Interval); perSecond > 40 {
				t.Fatalf("%+v: %d heartbeats a second", tc, perSecond)
			}
			for _, h := range round {
				delete(due, h.VM)
				if h.Every > 0 {
					due[h.VM] = now.Add(h.Every)
				}
			}
			for vm, at := range due {
				if at.Before(now) {
					t.Fatalf("%+v: %v got no heartbeat when announced", tc, vm)
				}
			}
			now = now.Add(ffpartner.Interval)
		}
		if len(due) != tc.callers {
			t.Errorf("%+v: heartbeats are planned to %d", tc, len(due))
		}
	}
}

// TestSpread checks that news reaches all of 30 and of 300 daemons within 1.5 s and 2.5 s when each
// passes it on with its heartbeats, of which one in fifty is lost.
func TestSpread(t *testing.T) {
	for n, most := range map[int]time.Duration{30: 1500 * time.Millisecond, 300: 2500 * time.Millisecond} {
		rng := rand.New(rand.NewPCG(1, 2))
		all := members(n)
		index := make(map[netip.Addr]int)
		for i, m := range all {
			index[m.VM] = i
		}
		schedules := make([]ffpartner.Schedule, n)
		informed := map[int]bool{0: true}
		now := time.Unix(1000, 0)
		var elapsed time.Duration
		for ; len(informed) < n && elapsed < 10*time.Second; elapsed += ffpartner.Interval {
			reached := make(map[int]bool)
			for i := range informed {
				others := slices.DeleteFunc(slices.Clone(all), func(m ffdelegate.Member) bool { return m == all[i] })
				for _, h := range schedules[i].Next(others, all[i].DataCentre, now.Add(elapsed), rng) {
					if rng.IntN(50) > 0 {
						reached[index[h.VM]] = true
					}
				}
			}
			for i := range reached {
				informed[i] = true
			}
		}
		if elapsed > most {
			t.Errorf("%d daemons: reached in %v, at most %v allowed", n, elapsed, most)
		}
		t.Logf("%d daemons: reached in %v", n, elapsed)
	}
}

// TestFormerCaller checks that an entry that stopped calling gets no regular heartbeat
// any more, and is told so by the next random one.
func TestFormerCaller(t *testing.T) {
	var s ffpartner.Schedule
	rng := rand.New(rand.NewPCG(1, 2))
	others := members(299)
	former, now := others[0].VM, time.Unix(1000, 0)
	s.Called(former, now)
	told := false
	for range 2000 {
		now = now.Add(ffpartner.Interval)
		for _, h := range s.Next(others, "z0", now, rng) {
			if h.VM == former && now.Sub(time.Unix(1000, 0)) > 10*time.Second {
				told = told || h.Every == 0
				if h.Every > 0 {
					t.Fatal("a former caller still gets regular heartbeats")
				}
			}
		}
	}
	if !told {
		t.Error("a former caller was never told")
	}
}

// TestFewHeartbeatsCross guards against heartbeats that take most of the bytes between data
// centres: an entry elsewhere that called once is soon forgotten, and news needs few.
func TestFewHeartbeatsCross(t *testing.T) {
	const rounds, mostForCaller = 40, 8
	var s ffpartner.Schedule
	rng := rand.New(rand.NewPCG(1, 2))
	others := members(60)
	now := time.Unix(1000, 0)
	s.Called(others[1].VM, now)
	crossed := 0
	for range rounds {
		for _, h := range s.Next(others, "z0", now, rng) {
			if h.VM.As4()[3]%5 != 0 {
				crossed++
			}
		}
		now = now.Add(ffpartner.Interval)
	}
	if most := rounds + mostForCaller + 1; crossed > most {
		t.Errorf("%d heartbeats in %d rounds went to other data centres, want at most %d", crossed, rounds, most)
	}
}
