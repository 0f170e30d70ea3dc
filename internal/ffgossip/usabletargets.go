package ffgossip

import (
	"slices"
	"time"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
)

const (
	// outageAge is the age of the snapshot beyond which the store counts as
	// unavailable.
	outageAge = 1500 * time.Millisecond
	// expiryGrace is how long after the store is available again a target is still used
	// whose entry may have expired during the outage.
	expiryGrace = 2 * time.Second
)

// maxLeaving is the number of leaving targets, and of replaced ones, from which those that
// are neither listed nor retained are forgotten.
const maxLeaving = 256

// departedFor is how long a removed target is remembered: no backup from which the store is
// restored is older.
const departedFor = time.Minute

// usable returns the targets to use: the listed and the retained ones, without calls to
// those that said that they are leaving and those that others have replaced. The caller
// holds the lock.
func (s *State) usable() fffleet.Fleet {
	return s.listed.Union(s.held).WithLeaving(s.leaving).WithReplaced(s.replaced)
}

// recordDeparted records the targets that are not in fleet any more. A target that is not
// listed in a new epoch may only be missing in the backup. The caller holds the lock.
func (s *State) recordDeparted(fleet fffleet.Fleet, newEpoch bool) {
	if newEpoch {
		s.startEpoch()
		return
	}
	if gone := s.listed.Difference(fleet); len(gone) > 0 {
		now := time.Now()
		s.departed = s.departed.With(gone, now.Add(departedFor), now)
	}
}

// startEpoch records that the store was restored from a backup. The caller holds the lock.
func (s *State) startEpoch() {
	now := time.Now()
	s.departedBefore = s.departedBefore.Union(s.departed).With(nil, now, now)
	s.departed = fffleet.Departed{}
}

// MarkLeaving records that the run t of a target said that it is leaving. That run gets
// no new calls from now on, whatever the store or other daemons say of it.
func (s *State) MarkLeaving(t fffleet.Target) {
	s.endCalls(t, &s.leaving, "target says that it is leaving")
}

// MarkReplaced records that another target answers at the address of the run t, which gets
// no new calls from now on and hides no other target there.
func (s *State) MarkReplaced(t fffleet.Target) {
	s.endCalls(t, &s.replaced, "another target answers in place of this one")
}

// endCalls adds the run t to runs, which get no new calls, and logs the reason.
func (s *State) endCalls(t fffleet.Target, runs *fffleet.Leaving, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if runs.Has(t) {
		return
	}
	if runs.Len() >= maxLeaving {
		*runs = runs.Within(s.listed.Union(s.held))
	}
	*runs = runs.With(t)
	s.Log.Info().Str("target", t.ID).Stringer("listed", t.State).Msg(reason)
	old := s.Snapshot()
	next := *old
	next.Fleet = s.usable()
	s.publish("target", old, &next)
}

// holdMissing retains the targets that disappeared during an outage of the store until a
// time, or until they are listed again. In a new epoch of the store all that are missing are
// retained, since the store may have lost their entries. The caller holds the lock.
func (s *State) holdMissing(old *Snapshot, fleet fffleet.Fleet, until time.Time, newEpoch bool) {
	now := time.Now()
	outage := until.After(now) && now.Sub(old.ConfirmedAt) > outageAge
	if newEpoch {
		until = now.Add(expiryGrace)
	}
	if !old.ConfirmedAt.IsZero() && (outage || newEpoch) {
		s.heldUntil = until
		s.held = s.listed.Difference(fleet)
	}
	s.held = slices.DeleteFunc(s.held, func(t fffleet.Target) bool {
		_, back := fleet.Get(t.ID)
		return back || now.After(s.heldUntil)
	})
}

// HeldUntil returns until when targets that disappeared in the last outage are retained.
func (s *State) HeldUntil() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heldUntil
}
