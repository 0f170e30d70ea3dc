package ffgossip_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffdelegate"
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
		s.Merge(ffgossip.Reading{From: "test", Revision: ffgossip.Revision{Number: step.revision}, ConfirmedAt: now, Table: version(step.version), Fleet: fleet("a")})
		if got := s.Snapshot().Version(); got != step.want {
			t.Errorf("after %+v: version %d", step, got)
		}
	}
	s.Merge(ffgossip.Reading{From: "test", Revision: ffgossip.Revision{Number: 9}, ConfirmedAt: now, Fleet: fleet("a")})
	if s.Table() == nil {
		t.Error("a snapshot without a configuration removed the current one")
	}
}

// TestTargetsAfterOutage checks that a target whose entry disappeared during an outage of
// the store is used for a short time afterwards, and that a target that disappeared
// at any other time is dropped at once.
func TestTargetsAfterOutage(t *testing.T) {
	var s ffgossip.State
	s.Merge(ffgossip.Reading{From: "test", Revision: ffgossip.Revision{Number: 1}, ConfirmedAt: time.Now(), Table: version(1), Fleet: fleet("a", "b")})
	s.Merge(ffgossip.Reading{From: "test", Revision: ffgossip.Revision{Number: 2}, ConfirmedAt: time.Now(), Table: version(1), Fleet: fleet("a")})
	if _, ok := s.Fleet().Get("b"); ok {
		t.Error("a target that was removed is still used")
	}
	s = ffgossip.State{}
	s.Merge(ffgossip.Reading{From: "test", Revision: ffgossip.Revision{Number: 1}, ConfirmedAt: time.Now().Add(-5 * time.Second), Table: version(1), Fleet: fleet("a", "b")})
	s.Merge(ffgossip.Reading{From: "test", Revision: ffgossip.Revision{Number: 2}, ConfirmedAt: time.Now(), Table: version(1), Fleet: fleet("a"), RetainUntil: time.Now().Add(2 * time.Second)})
	if _, ok := s.Fleet().Get("b"); !ok {
		t.Error("a target that may have expired during the outage is not used")
	}
	returned := time.Now()
	for rev := uint64(3); ; rev++ {
		s.Merge(ffgossip.Reading{From: "test", Revision: ffgossip.Revision{Number: rev}, ConfirmedAt: time.Now(), Table: version(1), Fleet: fleet("a")})
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

// TestRemovedWhileWithoutNews guards against calls to a target whose entry was removed, by
// a daemon that takes its own lack of news for an outage of the store; and against an
// outage that one daemon alone had making others retain targets.
func TestRemovedWhileWithoutNews(t *testing.T) {
	for name, tc := range map[string]struct {
		age   time.Duration
		until time.Time
	}{
		"no news, store well":      {5 * time.Second, time.Time{}},
		"outage of another daemon": {0, time.Now().Add(2 * time.Second)},
	} {
		var s ffgossip.State
		s.Merge(ffgossip.Reading{From: "test", Revision: ffgossip.Revision{Number: 1}, ConfirmedAt: time.Now().Add(-tc.age), Table: version(1), Fleet: fleet("a", "b")})
		s.Merge(ffgossip.Reading{From: "test", Revision: ffgossip.Revision{Number: 2}, ConfirmedAt: time.Now(), Table: version(1), Fleet: fleet("a"), RetainUntil: tc.until})
		if _, ok := s.Fleet().Get("b"); ok {
			t.Errorf("%s: a removed target is still used", name)
		}
	}
}

// TestRetainedTargetStaysLeaving guards against calls to a target that said that it is
// leaving, whose entry expired in an outage of the store, once many others have left.
func TestRetainedTargetStaysLeaving(t *testing.T) {
	var s ffgossip.State
	s.Merge(ffgossip.Reading{From: "test", Revision: ffgossip.Revision{Number: 1}, ConfirmedAt: time.Now().Add(-5 * time.Second), Table: version(1), Fleet: fleet("a", "b")})
	leaving, _ := s.Fleet().Get("b")
	s.MarkLeaving(leaving)
	s.Merge(ffgossip.Reading{From: "test", Revision: ffgossip.Revision{Number: 2}, ConfirmedAt: time.Now(), Table: version(1), Fleet: fleet("a"), RetainUntil: time.Now().Add(time.Minute)})
	for i := range 300 {
		s.MarkLeaving(fffleet.Target{ID: fmt.Sprint("other", i)})
	}
	if got, ok := s.Fleet().Get("b"); !ok || got.State != fffleet.StateDraining {
		t.Errorf("retained target: %v, state %v", ok, got.State)
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
				p.Record(vmAt(i), ffgossip.Heartbeat{DataCentre: centre, Sequence: 1}, time.Now())
			}
		}
		return ffdelegate.PlaceOf(ffdelegate.Member{VM: vmAt(self), DataCentre: centres[self]}, p.Others(vmAt(self), nil)).Rank
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

// TestRankInFleet checks that exactly one daemon has rank 0 in a fleet in which each
// knows all targets and has received heartbeats of none, some or all daemons, and that
// exactly one other takes over when the first announces that it leaves.
func TestRankInFleet(t *testing.T) {
	const daemons = 80
	centres := []string{"a", "b", "c"}
	var targets []fffleet.Target
	for i := range daemons {
		targets = append(targets, fffleet.Target{ID: fmt.Sprint(i), Address: netip.AddrPortFrom(vmAt(i), 1), DataCentre: centres[i%len(centres)]})
	}
	for _, heard := range []int{0, daemons / 2, daemons} {
		place := func(self, leaving int) ffdelegate.Place {
			var p ffgossip.Peers
			for i := range heard {
				p.Record(vmAt(i), ffgossip.Heartbeat{Sequence: 1, DataCentre: centres[i%len(centres)]}, time.Now().Add(-time.Duration(i)*time.Second/10))
			}
			if leaving >= 0 {
				p.Record(vmAt(leaving), ffgossip.Heartbeat{Sequence: 2, Leaving: true}, time.Now())
			}
			return ffdelegate.PlaceOf(ffdelegate.Member{VM: vmAt(self), DataCentre: centres[self%len(centres)]}, p.Listed(targets))
		}
		var first []int
		for i := range daemons {
			if place(i, -1).Rank == 0 {
				first = append(first, i)
			}
		}
		if len(first) != 1 {
			t.Fatalf("%d heard: daemons %v have rank 0", heard, first)
		}
		successors := 0
		for i := range daemons {
			if i != first[0] && place(i, first[0]).Rank == 0 {
				successors++
			}
		}
		if successors != 1 {
			t.Errorf("%d heard: %d daemons take over from the first", heard, successors)
		}
	}
}

func vmAt(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}) }
