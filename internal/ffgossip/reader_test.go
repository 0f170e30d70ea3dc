package ffgossip

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffdelegate"
	"fireflyfall.dev/fireflyfall/internal/fffleet"
	"fireflyfall.dev/fireflyfall/internal/ffroute"
)

// fakeStore is a store that returns the configuration of its version in chunks.
type fakeStore struct {
	version        uint64
	routes         int
	reads, changes int
	// chunks are sent at intervals of gap.
	chunks int
	gap    time.Duration
	// listed are the targets on the list.
	listed []fffleet.Target
}

func (s *fakeStore) table() *ffroute.Table {
	t := &ffroute.Table{Version: s.version}
	for n := range s.routes {
		t.Routes = append(t.Routes, &ffroute.Route{Name: fmt.Sprint("r", n), Host: "h", Prefix: fmt.Sprint("/", n, "/")})
	}
	return t.Index()
}

func (s *fakeStore) send(ctx context.Context, progress func()) error {
	for range s.chunks {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(s.gap):
			progress()
		}
	}
	return nil
}

func (s *fakeStore) Targets(context.Context) ([]fffleet.Target, error) { return s.listed, nil }

func (s *fakeStore) Read(ctx context.Context, progress func()) (*StoreContent, error) {
	s.reads++
	return &StoreContent{Revision: Revision{Number: s.version}, Table: s.table()}, s.send(ctx, progress)
}

func (s *fakeStore) Changes(ctx context.Context, after Revision, _ time.Duration, progress func()) (*Changes, bool, error) {
	s.changes++
	c := &Changes{Revision: Revision{Number: s.version}}
	if s.version > after.Number {
		c.Table = s.table()
	}
	return c, false, s.send(ctx, progress)
}

// TestLargeVersions checks that a new version of a large configuration is followed by
// a complete read, since the history may hold many more versions by then, and that
// reads return to changes once there is no new version. A small configuration is
// updated by changes alone.
func TestLargeVersions(t *testing.T) {
	for routes, want := range map[int]struct{ reads, changes int }{10: {1, 4}, largeTableRoutes: {3, 2}} {
		synctest.Test(t, func(t *testing.T) {
			s := &fakeStore{version: 1, routes: routes}
			r := &Reader{Source: s, State: &State{}}
			for _, version := range []uint64{1, 1, 2, 2, 2} {
				s.version = version
				r.read(t.Context())
			}
			if s.reads != want.reads || s.changes != want.changes {
				t.Errorf("%d routes: %d complete reads and %d of changes, want %+v", routes, s.reads, s.changes, want)
			}
		})
	}
}

// newMember returns the reader of a daemon that is no delegate, in a fleet of 31 whose
// first one reads the store.
func newMember(s *fakeStore) *Reader {
	var members []ffdelegate.Member
	for i := range 30 {
		members = append(members, ffdelegate.Member{VM: vmNumber(i)})
	}
	r := &Reader{Source: s, State: &State{}, Self: ffdelegate.Member{VM: vmNumber(30)}, HeardAt: time.Now}
	r.Others = func() (others, listed []ffdelegate.Member) { return members, members }
	r.State.Merge(Reading{Revision: Revision{Number: s.version}, ConfirmedAt: time.Now(), Table: s.table()})
	r.Confirmed(vmNumber(0))
	return r
}

// TestContentThatNoPeerSends guards against a daemon that knows for seconds that others
// have newer content, in which its target is leaving, and cannot pull it.
func TestContentThatNoPeerSends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{version: 1}
		r := newMember(s)
		s.version = 2
		r.HeardOfNewer(Revision{Number: 2}, time.Now())
		ctx, cancel := context.WithTimeout(t.Context(), 900*time.Millisecond)
		defer cancel()
		r.run(ctx)
		if v := r.State.Snapshot().Version(); v != 2 || s.reads+s.changes != 1 {
			t.Errorf("version %d after %d reads", v, s.reads+s.changes)
		}
		if by := r.ReadBy(); by != vmNumber(0) {
			t.Errorf("%v is the reader", by)
		}
	})
}

// TestRevisionThatStoreNeverHad guards against a daemon that reads the store without end
// because it heard of a revision that does not exist.
func TestRevisionThatStoreNeverHad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{version: 1}
		r := newMember(s)
		r.HeardOfNewer(Revision{Number: 1 << 60}, time.Now())
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		r.run(ctx)
		if n := s.reads + s.changes; n > 1 {
			t.Errorf("%d reads within a second", n)
		}
	})
}

func vmNumber(n int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}) }

// TestSlowResponse checks that a slow response is accepted while bytes arrive, and
// abandoned when they stop.
func TestSlowResponse(t *testing.T) {
	for gap, want := range map[time.Duration]uint64{readIdleTimeout / 3: 1, readIdleTimeout * 2: 0} {
		synctest.Test(t, func(t *testing.T) {
			s := &fakeStore{version: 1, routes: 1, chunks: 8, gap: gap}
			r := &Reader{Source: s, State: &State{}}
			r.read(t.Context())
			if got := r.State.Snapshot().Version(); got != want {
				t.Errorf("a chunk every %v: version %d, want %d", gap, got, want)
			}
		})
	}
}

// TestOtherReadsFirst guards against a daemon that takes itself for the reader because it
// had no snapshot when it began to read, while others got theirs from the first reader.
func TestOtherReadsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{version: 1, chunks: 2, gap: 100 * time.Millisecond}
		r := &Reader{Source: s, State: &State{}, Self: ffdelegate.Member{VM: vmNumber(1)}}
		time.AfterFunc(s.gap, func() {
			r.State.Merge(Reading{Revision: Revision{Number: 1}, ConfirmedAt: time.Now(), Table: s.table()})
			r.Confirmed(vmNumber(0))
		})
		r.read(t.Context())
		if by := r.ReadBy(); by != vmNumber(0) {
			t.Errorf("%v is the reader", by)
		}
	})
}

// TestReadAfterList guards against a delegate that, with the whole fleet without a
// configuration, has found the others and waits before it reads the store.
func TestReadAfterList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		self, other := ffdelegate.Member{VM: vmNumber(0)}, ffdelegate.Member{VM: vmNumber(1)}
		if ffdelegate.Precedes(other.VM, self.VM) {
			self, other = other, self
		}
		var found []ffdelegate.Member
		r := &Reader{Source: &fakeStore{version: 1}, State: &State{}, Self: self}
		r.Others = func() (others, listed []ffdelegate.Member) { return found, append(found, self) }
		r.OnList = func([]fffleet.Target) { found = []ffdelegate.Member{other} }
		ctx, cancel := context.WithTimeout(t.Context(), 2*minCheckInterval)
		defer cancel()
		r.run(ctx)
		if v := r.State.Snapshot().Version(); v != 1 {
			t.Errorf("version %d after %v", v, 2*minCheckInterval)
		}
	})
}
