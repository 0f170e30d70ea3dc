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

const (
	// outageAge is the age of the word beyond which the store counts as away.
	outageAge = 1500 * time.Millisecond
	// lapseGrace is how long after the store's return a target is used whose
	// entry may have lapsed meanwhile.
	lapseGrace = 2 * time.Second
)

// State holds the latest word and never goes back to an older configuration. The
// zero value knows nothing.
type State struct {
	Log zerolog.Logger
	// Changed is called after each change of content; it may be nil.
	Changed func(w *Word)

	word  atomic.Pointer[Word]
	mu    sync.Mutex
	read  fffleet.Fleet
	held  []fffleet.Target
	until time.Time
	// recent are the last versions, for peers that are a little behind.
	recent []*ffroute.Table
	// fleets are the last lists of targets.
	fleets []fffleet.Fleet
}

// recentKept bounds the versions, and the lists of targets, that are kept.
const recentKept = 12

// Word returns the latest word; the zero Word while nothing is known.
func (s *State) Word() *Word {
	if w := s.word.Load(); w != nil {
		return w
	}
	return &Word{}
}

// Table returns the configuration in force, or nil.
func (s *State) Table() *ffroute.Table { return s.Word().Table }

// Fleet returns the targets to use: those of the word, and those that are held
// after an outage.
func (s *State) Fleet() fffleet.Fleet { return s.Word().Fleet }

// Offer takes up what a read or a peer says, as far as it is news. from names the
// source for the log.
func (s *State) Offer(from string, revision uint64, confirmed time.Time, table *ffroute.Table, fleet fffleet.Fleet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	old := s.Word()
	if revision < old.Revision {
		s.offerTable(from, old, table)
		return
	}
	next := &Word{Revision: revision, Confirmed: confirmed, Table: newer(old.Table, table)}
	if confirmed.Before(old.Confirmed) {
		next.Confirmed = old.Confirmed
	}
	s.hold(old, fleet, now)
	s.keep(fleet)
	next.Fleet = fleet.Holding(s.held)
	s.publish(from, old, next)
}

// keep takes up a list of targets. The caller holds the lock.
func (s *State) keep(fleet fffleet.Fleet) {
	if fleet.Digest() != s.read.Digest() || len(s.fleets) == 0 {
		s.fleets = append(s.fleets, fleet)
		if len(s.fleets) > recentKept {
			s.fleets = slices.Delete(s.fleets, 0, 1)
		}
	}
	s.read = fleet
}

// list returns a recent list of targets by its digest.
func (s *State) list(digest uint64) (fffleet.Fleet, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.fleets {
		if f.Digest() == digest {
			return f, true
		}
	}
	return fffleet.Fleet{}, false
}

// offerTable takes up just a newer configuration.
func (s *State) offerTable(from string, old *Word, table *ffroute.Table) {
	if newer(old.Table, table) == old.Table {
		return
	}
	next := *old
	next.Table = table
	s.publish(from, old, &next)
}

func newer(a, b *ffroute.Table) *ffroute.Table {
	if a == nil || b != nil && b.Version > a.Version {
		return b
	}
	return a
}

// hold keeps the targets that went missing while the store was away. The caller
// holds the lock.
func (s *State) hold(old *Word, fleet fffleet.Fleet, now time.Time) {
	if !old.Confirmed.IsZero() && now.Sub(old.Confirmed) > outageAge {
		s.until = now.Add(lapseGrace)
		s.held = s.read.Without(fleet)
	}
	s.held = slices.DeleteFunc(s.held, func(t fffleet.Target) bool {
		_, back := fleet.Get(t.ID)
		return back || now.After(s.until)
	})
}

func (s *State) publish(from string, old, next *Word) {
	s.word.Store(next)
	if next.Table != old.Table {
		s.recent = append(s.recent, next.Table)
		if len(s.recent) > recentKept {
			s.recent = slices.Delete(s.recent, 0, 1)
		}
	}
	if old.Digest() == next.Digest() {
		return
	}
	s.Log.Info().Str("from", from).Uint64("revision", next.Revision).Uint64("version", next.Version()).
		Int("targets", next.Fleet.Len()).Int("held", len(s.held)).
		Dur("age", time.Since(next.Confirmed)).Msg("word changed")
	if s.Changed != nil {
		s.Changed(next)
	}
}

// Confirm notes that the content in force was still right at a later revision.
func (s *State) Confirm(revision uint64, confirmed time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.Word()
	if revision < old.Revision || confirmed.Before(old.Confirmed) {
		return
	}
	next := *old
	next.Revision = revision
	next.Confirmed = confirmed
	s.hold(old, s.read, time.Now())
	next.Fleet = s.read.Holding(s.held)
	s.publish("confirmation", old, &next)
}

// version returns a recent version, or nil.
func (s *State) version(n uint64) *ffroute.Table {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.recent {
		if t.Version == n {
			return t
		}
	}
	return nil
}

// Read returns the targets as the store listed them last, without those held.
func (s *State) Read() (revision uint64, fleet fffleet.Fleet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Word().Revision, s.read
}
