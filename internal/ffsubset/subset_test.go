package ffsubset_test

import (
	"fmt"
	"net/netip"
	"testing"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
	"fireflyfall.dev/fireflyfall/internal/ffsubset"
)

// fleet returns n targets in five data centres, one in four of service "b".
func fleet(n int) fffleet.Fleet {
	var all []fffleet.Target
	for i := range n {
		service := "a"
		if i%4 == 3 {
			service = "b"
		}
		vm := netip.AddrFrom4([4]byte{10, byte(i % 5), byte(i >> 8), byte(i)})
		all = append(all, fffleet.Target{ID: fmt.Sprint("t", i), Service: service, Address: netip.AddrPortFrom(vm, 1), DataCentre: fmt.Sprint("z", i%5), Slots: 6})
	}
	return fffleet.New(all)
}

func entry(t fffleet.Target) ffsubset.Entry {
	return ffsubset.Entry{VM: t.VM(), DataCentre: t.DataCentre}
}

// TestEven checks that an entry uses a bounded number of targets, most of them in its
// own data centre, and that no target is used by many more entries than another.
func TestEven(t *testing.T) {
	for _, n := range []int{60, 300, 1000} {
		f := fleet(n)
		for _, service := range []string{"a", "b"} {
			users := make(map[string]int)
			for _, e := range f.All() {
				used := ffsubset.Of(entry(e), f, f.Serving(service))
				if len(used) > 19 {
					t.Fatalf("%d targets: an entry uses %d", n, len(used))
				}
				for _, u := range used {
					users[u.ID]++
				}
			}
			mean := float64(0)
			for _, u := range users {
				mean += float64(u) / float64(len(users))
			}
			if len(users) != len(f.Serving(service)) {
				t.Errorf("%d targets: only %d of %s are used", n, len(users), service)
			}
			for id, u := range users {
				if float64(u) > 1.5*mean || float64(u) < mean/1.5 {
					t.Errorf("%d targets: %s is used by %d entries, the mean is %.1f", n, id, u, mean)
				}
			}
		}
	}
}

// TestChange checks that when a target leaves, an entry replaces few of those that it
// uses.
func TestChange(t *testing.T) {
	f := fleet(300)
	all := f.All()
	for _, e := range all[:50] {
		before := ffsubset.Of(entry(e), f, f.Serving("a"))
		smaller := f.With([]fffleet.Change{{ID: all[100].ID}})
		after := make(map[string]bool)
		for _, u := range ffsubset.Of(entry(e), smaller, smaller.Serving("a")) {
			after[u.ID] = true
		}
		replaced := 0
		for _, u := range before {
			if !after[u.ID] {
				replaced++
			}
		}
		if replaced > 4 {
			t.Errorf("the entry on %v replaces %d of %d targets", e.VM(), replaced, len(before))
		}
	}
}
