package ffgossip

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
	"fireflyfall.dev/fireflyfall/internal/ffroute"
)

// heapBytes returns the bytes of live objects.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestMemoryOfRecentVersions guards against a daemon whose memory grows with the fleet and
// the configuration times the number of versions that it keeps for others.
func TestMemoryOfRecentVersions(t *testing.T) {
	const (
		targets, routes = 295, 1400
		// most is the additional memory allowed at 295 daemons, 4 MB at its peak, when the
		// collector lets the heap grow by half.
		most = 4_000_000 * 2 / 3
	)
	base := heapBytes()
	s := &State{}
	table := &ffroute.Table{Version: 1}
	var list []fffleet.Target
	for i := range routes {
		table.Routes = append(table.Routes, testRoute(i, 1))
	}
	for i := range targets {
		vm := netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)})
		list = append(list, fffleet.Target{ID: fmt.Sprint("i-", i), Service: "s", Address: netip.AddrPortFrom(vm, 80), DataCentre: "z", Slots: 6})
	}
	fleet := fffleet.New(list)
	table.Index()
	for v := uint64(1); v <= 2*maxRecent; v++ {
		s.Merge(Reading{Revision: Revision{Number: v}, ConfirmedAt: time.Now(), Table: table, Fleet: fleet})
		var err error
		if table, err = table.With(&ffroute.Delta{Base: v, Version: v + 1, Changed: []*ffroute.Route{testRoute(0, int(v))}}); err != nil {
			t.Fatal(err)
		}
		list[v].State = fffleet.StateDraining
		fleet = fleet.With([]fffleet.Change{{ID: list[v].ID, Target: &list[v]}})
	}
	used := heapBytes() - base
	runtime.KeepAlive(s)
	t.Logf("%d bytes", used)
	if used > most {
		t.Errorf("%d bytes are live, at most %d allowed", used, most)
	}
}

func testRoute(n, attempts int) *ffroute.Route {
	return &ffroute.Route{
		Name: fmt.Sprint("route-", n), Host: fmt.Sprintf("h%d.example", n%40), Prefix: fmt.Sprintf("/p%d/", n), Attempts: attempts,
		Split: []ffroute.WeightedService{{Service: "s", Weight: 1}},
	}
}
