package ffgossip_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
	"fireflyfall.dev/fireflyfall/internal/ffgossip"
	"fireflyfall.dev/fireflyfall/internal/ffroute"
)

func fleet(ids ...string) fffleet.Fleet {
	var targets []fffleet.Target
	for _, id := range ids {
		targets = append(targets, fffleet.Target{ID: id, Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:1"), Slots: 1})
	}
	return fffleet.New(targets)
}

func version(n uint64) *ffroute.Table { return (&ffroute.Table{Version: n}).Index() }

// TestNeverOlder checks that the highest version is kept whatever the order in which
// snapshots arrive.
func TestNeverOlder(t *testing.T) {
	var s ffgossip.State
	now := time.Now()
	for _, step := range []struct {
		revision, version, want uint64
	}{{5, 3, 3}, {6, 2, 3}, {4, 4, 4}, {7, 4, 4}, {3, 1, 4}} {
		s.Merge("test", step.revision, now, version(step.version), fleet("a"))
		if got := s.Snapshot().Version(); got != step.want {
			t.Errorf("after %+v: version %d", step, got)
		}
	}
	s.Merge("test", 9, now, nil, fleet("a"))
	if s.Table() == nil {
		t.Error("a snapshot without a configuration removed the current one")
	}
}

// TestTargetsAfterOutage checks that a target whose entry disappeared during an outage of
// the store is used for a short time afterwards, and that a target that disappeared
// at any other time is dropped at once.
func TestTargetsAfterOutage(t *testing.T) {
	var s ffgossip.State
	s.Merge("test", 1, time.Now(), version(1), fleet("a", "b"))
	s.Merge("test", 2, time.Now(), version(1), fleet("a"))
	if _, ok := s.Fleet().Get("b"); ok {
		t.Error("a target that was removed is still used")
	}
	s = ffgossip.State{}
	s.Merge("test", 1, time.Now().Add(-5*time.Second), version(1), fleet("a", "b"))
	s.Merge("test", 2, time.Now(), version(1), fleet("a"))
	if _, ok := s.Fleet().Get("b"); !ok {
		t.Error("a target that may have expired during the outage is not used")
	}
	returned := time.Now()
	for rev := uint64(3); ; rev++ {
		s.Merge("test", rev, time.Now(), version(1), fleet("a"))
		if _, ok := s.Fleet().Get("b"); !ok {
			break
		}
		if time.Since(returned) > 3*time.Second {
			t.Fatal("a target that was not listed again is still used")
		}
		<-time.After(50 * time.Millisecond)
	}
	if time.Since(returned) < 1500*time.Millisecond {
		t.Error("an expired target was dropped at once")
	}
}

// TestRank checks that each daemon has a rank of its own, the first of each data centre
// before the second of any, and that the ranks close up when a daemon leaves.
func TestRank(t *testing.T) {
	centres := []string{"a", "a", "a", "b", "b"}
	rank := func(self int, without int) int {
		var p ffgossip.Peers
		for i, centre := range centres {
			if i != self && i != without {
				p.Record(vmAt(i), ffgossip.Heartbeat{Name: fmt.Sprint(i), DataCentre: centre, Sequence: 1}, time.Now())
			}
		}
		return p.Rank(ffgossip.Member{VM: vmAt(self), DataCentre: centres[self]}, nil, time.Now())
	}
	at := make(map[int]int)
	for i := range centres {
		at[rank(i, -1)] = i
	}
	if len(at) != len(centres) {
		t.Fatalf("ranks are not unique: %v", at)
	}
	if centres[at[0]] == centres[at[1]] {
		t.Errorf("the first two readers are in one data centre: %v", at)
	}
	without := at[0]
	rest := make(map[int]bool)
	for i := range centres {
		if i != without {
			rest[rank(i, without)] = true
		}
	}
	for i := range len(centres) - 1 {
		if !rest[i] {
			t.Errorf("no daemon has rank %d after the first one left: %v", i, rest)
		}
	}
}

// TestRankAtStart checks that exactly one daemon has rank 0 in a fleet that starts at
// once, when each daemon has read the targets but received no heartbeat, and that
// exactly one other takes over when the first announces that it leaves.
func TestRankAtStart(t *testing.T) {
	const daemons = 66
	centres := []string{"a", "b", "c"}
	members := make([]ffgossip.Member, daemons)
	for i := range members {
		members[i] = ffgossip.Member{VM: vmAt(i), DataCentre: centres[i%len(centres)]}
	}
	first := -1
	for i, self := range members {
		var p ffgossip.Peers
		if p.Rank(self, members, time.Now()) != 0 {
			continue
		}
		if first >= 0 {
			t.Fatalf("daemons %d and %d both have rank 0", first, i)
		}
		first = i
	}
	if first < 0 {
		t.Fatal("no daemon has rank 0")
	}
	successors := 0
	for i, self := range members {
		var p ffgossip.Peers
		p.Record(vmAt(first), ffgossip.Heartbeat{Sequence: 1, Leaving: true}, time.Now())
		if i != first && p.Rank(self, members, time.Now()) == 0 {
			successors++
		}
	}
	if successors != 1 {
		t.Errorf("%d daemons take over from the first", successors)
	}
}

func vmAt(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}) }
