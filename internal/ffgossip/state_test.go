package ffgossip_test

import (
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

// TestNeverOlder keeps the greatest version whatever order words come in.
func TestNeverOlder(t *testing.T) {
	var s ffgossip.State
	now := time.Now()
	for _, step := range []struct {
		revision, version, want uint64
	}{{5, 3, 3}, {6, 2, 3}, {4, 4, 4}, {7, 4, 4}, {3, 1, 4}} {
		s.Offer("test", step.revision, now, version(step.version), fleet("a"))
		if got := s.Word().Version(); got != step.want {
			t.Errorf("after %+v: version %d", step, got)
		}
	}
	s.Offer("test", 9, now, nil, fleet("a"))
	if s.Table() == nil {
		t.Error("a word without a configuration took it away")
	}
}

// TestLapse uses a target whose entry went missing while the store was away, for
// a short time after its return, and drops one that went missing otherwise.
func TestLapse(t *testing.T) {
	var s ffgossip.State
	s.Offer("test", 1, time.Now(), version(1), fleet("a", "b"))
	s.Offer("test", 2, time.Now(), version(1), fleet("a"))
	if _, ok := s.Fleet().Get("b"); ok {
		t.Error("a target that was removed is still used")
	}
	s = ffgossip.State{}
	s.Offer("test", 1, time.Now().Add(-5*time.Second), version(1), fleet("a", "b"))
	s.Offer("test", 2, time.Now(), version(1), fleet("a"))
	if _, ok := s.Fleet().Get("b"); !ok {
		t.Error("a target that may have lapsed is not used")
	}
	returned := time.Now()
	for rev := uint64(3); ; rev++ {
		s.Offer("test", rev, time.Now(), version(1), fleet("a"))
		if _, ok := s.Fleet().Get("b"); !ok {
			break
		}
		if time.Since(returned) > 3*time.Second {
			t.Fatal("a target that did not come back is still used")
		}
		<-time.After(50 * time.Millisecond)
	}
	if time.Since(returned) < 1500*time.Millisecond {
		t.Error("a lapsed target was dropped at once")
	}
}

// TestPlace gives each daemon a place of its own, the first of each data centre
// before the second of any, and closes the gap of one that leaves.
func TestPlace(t *testing.T) {
	names := map[string]string{"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b"}
	place := func(self string, without string) int {
		var p ffgossip.Peers
		i := byte(0)
		for name, centre := range names {
			i++
			if name != self && name != without {
				p.Hear(netip.AddrFrom4([4]byte{10, 0, 0, i}), ffgossip.Heartbeat{Name: name, DataCentre: centre, Sequence: 1}, time.Now())
			}
		}
		return p.Place(self, names[self], time.Now())
	}
	at := make(map[int]string)
	for name := range names {
		at[place(name, "")] = name
	}
	if len(at) != len(names) {
		t.Fatalf("places are shared: %v", at)
	}
	if names[at[0]] == names[at[1]] {
		t.Errorf("the first two readers are in one data centre: %v", at)
	}
	without := at[0]
	rest := make(map[int]string)
	for name := range names {
		if name != without {
			rest[place(name, without)] = name
		}
	}
	for i := range len(names) - 1 {
		if rest[i] == "" {
			t.Errorf("place %d is empty once the first daemon is gone: %v", i, rest)
		}
	}
}
