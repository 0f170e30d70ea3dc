package ffgossip

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffroute"
)

// source is a store that answers with the next version, part by part.
type source struct {
	version        uint64
	routes         int
	reads, changes int
	// parts come one every gap.
	parts int
	gap   time.Duration
}

func (s *source) table() *ffroute.Table {
	t := &ffroute.Table{Version: s.version}
	for n := range s.routes {
		t.Routes = append(t.Routes, ffroute.Route{Name: fmt.Sprint("r", n), Host: "h", Prefix: fmt.Sprint("/", n, "/")})
	}
	return t.Index()
}

func (s *source) send(ctx context.Context, progress func()) error {
	for range s.parts {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(s.gap):
			progress()
		}
	}
	return nil
}

func (s *source) Read(ctx context.Context, progress func()) (*Full, error) {
	s.reads++
	return &Full{Revision: s.version, Table: s.table()}, s.send(ctx, progress)
}

func (s *source) Changes(ctx context.Context, after uint64, _ time.Duration, progress func()) (*Changes, bool, error) {
	s.changes++
	c := &Changes{Revision: s.version}
	if s.version > after {
		c.Table = s.table()
	}
	return c, false, s.send(ctx, progress)
}

// TestLargeVersions reads everything after a new version of a large configuration,
// since the history may hold many more by then, and goes back to changes once
// there is none. A small one is followed by its changes alone.
func TestLargeVersions(t *testing.T) {
	for routes, want := range map[int]struct{ reads, changes int }{10: {1, 4}, manyRoutes: {3, 2}} {
		synctest.Test(t, func(t *testing.T) {
			s := &source{version: 1, routes: routes}
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

// TestSlowBody takes a long answer that moves, and gives up one that does not.
func TestSlowBody(t *testing.T) {
	for gap, want := range map[time.Duration]uint64{readTimeout / 3: 1, readTimeout * 2: 0} {
		synctest.Test(t, func(t *testing.T) {
			s := &source{version: 1, routes: 1, parts: 8, gap: gap}
			r := &Reader{Source: s, State: &State{}}
			r.read(t.Context())
			if got := r.State.Word().Version(); got != want {
				t.Errorf("a part every %v: version %d, want %d", gap, got, want)
			}
		})
	}
}

// TestReadDue wants the second in order to wait until a word of the first has come
// round, also in a large fleet, and nobody to wait much over a second and a half.
func TestReadDue(t *testing.T) {
	for _, c := range []struct {
		place   int
		vms     int
		atLeast time.Duration
		atMost  time.Duration
	}{
		{place: 0, vms: 10, atLeast: 200 * time.Millisecond, atMost: 300 * time.Millisecond},
		{place: 0, vms: 300, atLeast: 200 * time.Millisecond, atMost: 300 * time.Millisecond},
		{place: 1, vms: 10, atLeast: 700 * time.Millisecond, atMost: 800 * time.Millisecond},
		{place: 1, vms: 66, atLeast: 950 * time.Millisecond, atMost: 1100 * time.Millisecond},
		{place: 65, vms: 66, atLeast: 1400 * time.Millisecond, atMost: 1700 * time.Millisecond},
		{place: 299, vms: 300, atLeast: 1400 * time.Millisecond, atMost: 1700 * time.Millisecond},
	} {
		round := time.Duration(c.vms) * time.Second / heartbeatRate
		if got := readDue(c.place, round); got < c.atLeast || got > c.atMost {
			t.Errorf("place %d of %d: reads at an age of %v, want %v to %v", c.place, c.vms, got, c.atLeast, c.atMost)
		}
	}
}
