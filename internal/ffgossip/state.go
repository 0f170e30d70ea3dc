package ffgossip

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
	"fireflyfall.dev/fireflyfall/internal/ffroute"
)

// State holds the latest snapshot and never returns to an older configuration. The
// zero value is empty.
type State struct {
	Log zerolog.Logger
	// OnChange is called after each change of content, with the lock of State held; it
	// may be nil.
	OnChange func(w *Snapshot)

	current atomic.Pointer[Snapshot]
	// expectedAt is when the first snapshot will probably come.
	expectedAt atomic.Pointer[time.Time]

	mu        sync.Mutex
	listed    fffleet.Fleet
	held      []fffleet.Target
	heldUntil time.Time
	leaving   fffleet.Leaving
	replaced  fffleet.Leaving
	// departed holds the targets that were removed in the current epoch of the store, and
	// departedBefore those removed in earlier ones.
	departed       fffleet.Departed
	departedBefore fffleet.Departed
	// recentTables are the last configurations, from which deltas are computed for
	// peers that are slightly behind.
	recentTables []*ffroute.Table
	// recentFleets are the last lists of targets, for the same purpose.
	recentFleets []fffleet.Fleet
}

// maxRecent is the number of configurations, and of lists of targets, that are kept.
const maxRecent = 12

// Snapshot returns the latest snapshot, or the zero Snapshot while there is none.
func (s *State) Snapshot() *Snapshot {
	if w := s.current.Load(); w != nil {
		return w
	}
	return &Snapshot{}
}

// expect records when the first snapshot will probably come.
func (s *State) expect(at time.Time) { s.expectedAt.Store(&at) }

// ExpectedAt returns when the first snapshot will probably come; zero if that is not
// known.
func (s *State) ExpectedAt() time.Time {
	if at := s.expectedAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Table returns the configuration in force, or nil.
func (s *State) Table() *ffroute.Table { return s.Snapshot().Table }

// Fleet returns the targets to use: those listed by the store and those retained
// after an outage.
func (s *State) Fleet() fffleet.Fleet { return s.Snapshot().Fleet }

// Merge updates the state with a reading. Of an older revision only a newer configuration
// is used.
func (s *State) Merge(r Reading) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.Snapshot()
	if r.Revision.Before(old.Revision) {
		s.mergeTable(r.From, old, r.Table)
		return
	}
	next := &Snapshot{Revision: r.Revision, ConfirmedAt: r.ConfirmedAt, Table: newerTable(old.Table, r.Table)}
	if r.ConfirmedAt.Before(old.ConfirmedAt) {
		next.ConfirmedAt = old.ConfirmedAt
	}
	if !next.Table.LimitsCold() {
		r.Fleet = r.Fleet.WithoutCold()
	}
	newEpoch := r.Revision.Epoch != old.Revision.Epoch
	s.recordDeparted(r.Fleet, newEpoch)
	fleet := r.Fleet.WithDeparted(s.departedBefore)
	s.holdMissing(old, fleet, r.RetainUntil, newEpoch)
	s.recordFleet(fleet)
	next.Fleet = s.usable()
	s.publish(r.From, old, next)
}

// recordFleet stores the targets that the store listed. The caller holds the lock.
func (s *State) recordFleet(fleet fffleet.Fleet) {
	if fleet.Digest() != s.listed.Digest() || len(s.recentFleets) == 0 {
		s.recentFleets = append(s.recentFleets, fleet.WithoutIndex())
		if len(s.recentFleets) > maxRecent {
			s.recentFleets = slices.Delete(s.recentFleets, 0, 1)
		}
	}
	s.listed = fleet
}

// recentFleet returns the recent list of targets with the given digest.
func (s *State) recentFleet(digest uint64) (fffleet.Fleet, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.recentFleets {
		if f.Digest() == digest {
			return f, true
		}
	}
	return fffleet.Fleet{}, false
}

// mergeTable updates only the configuration, if table is newer.
func (s *State) mergeTable(from string, old *Snapshot, table *ffroute.Table) {
	if newerTable(old.Table, table) == old.Table {
		return
	}
	next := *old
	next.Table = table
	s.publish(from, old, &next)
}

// newerTable returns the table with the higher version; a when they are equal. Both
// may be nil.
func newerTable(a, b *ffroute.Table) *ffroute.Table {
	if a == nil || b != nil && b.Version > a.Version {
		return b
	}
	return a
}

// publish makes next the current snapshot, and logs and reports a change of content.
// The caller holds the lock.
func (s *State) publish(from string, old, next *Snapshot) {
	s.current.Store(next)
	if next.Table != old.Table {
		s.recentTables = append(s.recentTables, next.Table)
		if len(s.recentTables) > maxRecent {
			s.recentTables = slices.Delete(s.recentTables, 0, 1)
		}
	}
	if old.Digest() == next.Digest() {
		return
	}
	s.Log.Info().Str("from", from).Stringer("revision", next.Revision).Uint64("version", next.Version()).
		Int("targets", next.Fleet.Len()).Int("held", len(s.held)).Strs("withdrawn", next.Fleet.Withdrawn(old.Fleet)).
		Dur("age", time.Since(next.ConfirmedAt)).Msg("word changed")
	if before, now := old.Fleet.Evacuated(), next.Fleet.Evacuated(); !slices.Equal(before, now) {
		s.Log.Info().Str("from", from).Stringer("revision", next.Revision).Strs("before", before).
			Strs("evacuated", now).Msg("evacuated data centres changed")
	}
	if s.OnChange != nil {
		s.OnChange(next)
	}
}

// Confirm records that the current content was still valid at a later revision, and
// reports whether that was news.
func (s *State) Confirm(revision Revision, confirmed time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.Snapshot()
	if revision.Before(old.Revision) || !confirmed.After(old.ConfirmedAt) {
		return false
	}
	next := *old
	next.Revision = revision
	next.ConfirmedAt = confirmed
	if revision.Epoch != old.Revision.Epoch {
		s.startEpoch()
	}
	s.holdMissing(old, s.listed, time.Time{}, false)
	next.Fleet = s.usable()
	s.publish("confirmation", old, &next)
	return true
}

// recentTable returns the configuration of version n if it is kept, or nil.
func (s *State) recentTable(n uint64) *ffroute.Table {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.recentTables {
		if t.Version == n {
			return t
		}
	}
	return nil
}

// Listed returns the revision and the targets that the store listed last, without the
// retained ones.
func (s *State) Listed() (revision Revision, fleet fffleet.Fleet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Snapshot().Revision, s.listed
}
