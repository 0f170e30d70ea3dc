package ffgossip

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
)

const (
	// firstAge is the age at which the first daemon in order reads again.
	firstAge = 250 * time.Millisecond
	// missedReads is how many reads of the first one the second misses before it
	// reads, besides the time that a word takes to come round; maxRound bounds that.
	missedReads = 2
	maxRound    = 600 * time.Millisecond
	// readStep is what each further one in order waits longer, and maxSteps what
	// the last ones do at most.
	readStep = 150 * time.Millisecond
	maxSteps = 550 * time.Millisecond
	// readTimeout is how long the store may send nothing in a call.
	readTimeout = 900 * time.Millisecond
	// readMost bounds one read in all.
	readMost = 5 * time.Second
	// manyRoutes is the size of a configuration from which each version takes a
	// notable time on a slow link.
	manyRoutes = 300
	// watchWait is how long a call waits for the first change.
	watchWait = 450 * time.Millisecond
	// minPause and maxPause bound the time between two looks at the age of the word,
	// which other daemons make younger.
	minPause = 40 * time.Millisecond
	maxPause = 200 * time.Millisecond
	// Pauses after a failed call.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 1200 * time.Millisecond
	// fullReadEvery bounds the time between two complete reads by one reader, since
	// a watch may have missed changes.
	fullReadEvery = 8 * time.Second
)

// Reader reads the store when nobody else has done so in time.
type Reader struct {
	Source Source
	State  *State
	Log    zerolog.Logger
	// Place returns this daemon's place in the order of readers, from 0.
	Place func() int
	// Round returns the time between two heartbeats of a daemon to the same peer; it
	// may be nil.
	Round func() time.Duration
	// Spread is called after each read; it may be nil.
	Spread func()
	// Reads and Failures count the reads that were answered and those that failed.
	Reads, Failures atomic.Int64

	failures int
	notUntil time.Time
	full     time.Time
	lost     bool
	// heavy tells that the last read brought a new version of a large configuration.
	// The history may hold many more of them by now; a complete read has the last.
	heavy bool
}

// run reads until ctx ends.
func (r *Reader) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		now := time.Now()
		at := r.next()
		if !at.After(now) {
			r.read(ctx)
			at = r.next()
		}
		timer.Reset(min(max(time.Until(at), minPause), maxPause))
	}
}

// next returns when this daemon reads unless others make its word younger.
func (r *Reader) next() time.Time {
	w := r.State.Word()
	if w.Confirmed.IsZero() || w.Table == nil {
		return r.notUntil
	}
	at := w.Confirmed.Add(readDue(r.Place(), r.round()))
	if at.Before(r.notUntil) {
		return r.notUntil
	}
	return at
}

func (r *Reader) round() time.Duration {
	if r.Round == nil {
		return 0
	}
	return r.Round()
}

// readDue returns the age of the word at which the daemon in a place reads. In a
// large fleet it takes longer until a word has come to everybody: about half the
// time between two heartbeats to the same peer.
func readDue(place int, round time.Duration) time.Duration {
	if place == 0 {
		return firstAge
	}
	second := missedReads*firstAge + min(max(round/2, heartbeatEvery), maxRound)
	return second + min(time.Duration(place-1)*readStep, maxSteps)
}

// read asks the store once.
func (r *Reader) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readMost)
	defer cancel()
	silence := time.AfterFunc(readTimeout, cancel)
	defer silence.Stop()
	progress := func() { silence.Reset(readTimeout) }
	started := time.Now()
	revision, fleet := r.State.Read()
	version := r.State.Word().Version()
	var err error
	if revision == 0 || r.lost || r.heavy || started.Sub(r.full) > fullReadEvery {
		err = r.readFull(ctx, started, progress)
	} else {
		err = r.readChanges(ctx, started, revision, fleet, progress)
	}
	r.heavy = r.State.Word().Version() != version && len(r.State.Table().Routes) >= manyRoutes
	r.note(err)
	if err == nil && r.Spread != nil {
		r.Spread()
	}
}

func (r *Reader) readFull(ctx context.Context, started time.Time, progress func()) error {
	full, err := r.Source.Read(ctx, progress)
	if err != nil {
		return err
	}
	_, known := r.State.Read()
	r.State.Offer("store", full.Revision, started, full.Table, replace(known, full.Targets))
	r.full = started
	r.lost = false
	return nil
}

// replace returns the fleet of a complete read, keeping later words of the same
// targets than it holds.
func replace(known fffleet.Fleet, targets []fffleet.Target) fffleet.Fleet {
	var changes []fffleet.Change
	for i := range targets {
		changes = append(changes, fffleet.Change{ID: targets[i].ID, Target: &targets[i]})
	}
	for _, t := range known.Without(fffleet.New(targets)) {
		changes = append(changes, fffleet.Change{ID: t.ID})
	}
	return known.With(changes)
}

func (r *Reader) readChanges(ctx context.Context, started time.Time, revision uint64, fleet fffleet.Fleet, progress func()) error {
	changes, lost, err := r.Source.Changes(ctx, revision, watchWait, progress)
	if err != nil {
		r.lost = true
		return err
	}
	if lost {
		r.Log.Warn().Uint64("revision", revision).Msg("history of the store is gone")
		return r.readFull(ctx, started, progress)
	}
	confirmed := started
	if changes.Table == nil && len(changes.Targets) == 0 {
		// A watch without changes speaks of the end of its wait.
		confirmed = started.Add(min(watchWait, time.Since(started)))
	}
	r.State.Offer("store", changes.Revision, confirmed, changes.Table, fleet.With(changes.Targets))
	return nil
}

// note keeps the pause after failures, and logs a lost and a regained store.
func (r *Reader) note(err error) {
	if err == nil {
		r.Reads.Add(1)
		if r.failures > 0 {
			r.Log.Info().Int("failures", r.failures).Msg("store regained")
		}
		r.failures = 0
		return
	}
	r.Failures.Add(1)
	r.failures++
	pause := min(minBackoff<<min(r.failures-1, 4), maxBackoff)
	pause = pause/2 + time.Duration(rand.Int64N(int64(pause)))
	r.notUntil = time.Now().Add(pause)
	if r.failures == 1 {
		r.Log.Warn().Err(err).Msg("store lost")
	}
}
