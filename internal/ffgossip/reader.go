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
	// firstReadAge is the age of the snapshot at which the daemon of rank 0 reads the
	// store again.
	firstReadAge = 250 * time.Millisecond
	// missedReads is the number of reads by the first daemon that the second one misses
	// before it reads itself, in addition to the time that a snapshot takes to spread;
	// maxSpreadTime limits that time.
	missedReads   = 2
	maxSpreadTime = 600 * time.Millisecond
	// readDelayStep is the additional wait of each further daemon in order, and
	// maxReadDelay the upper limit of the sum.
	readDelayStep = 150 * time.Millisecond
	maxReadDelay  = 550 * time.Millisecond
	// readIdleTimeout is how long a call to the store may receive no bytes.
	readIdleTimeout = 900 * time.Millisecond
	// maxReadTime bounds the total time of one read.
	maxReadTime = 5 * time.Second
	// largeTableRoutes is the number of routes from which transferring a version takes
	// a notable time on a slow link.
	largeTableRoutes = 300
	// watchWait is how long a watch call waits for the first change.
	watchWait = 450 * time.Millisecond
	// minCheckInterval and maxCheckInterval bound the interval between checks of the
	// snapshot's age, which updates from other daemons reduce.
	minCheckInterval = 40 * time.Millisecond
	maxCheckInterval = 200 * time.Millisecond
	// Backoff after failed calls.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 1200 * time.Millisecond
	// fullReadEvery is the time after which a reader does a complete read again, since
	// a watch may have missed changes.
	fullReadEvery = 8 * time.Second
)

// Reader reads the store when no other daemon has done so in time.
type Reader struct {
	Source Source
	State  *State
	Log    zerolog.Logger
	// Rank returns this daemon's rank in the order of readers, from 0.
	Rank func() int
	// HeartbeatInterval returns the interval of a daemon's heartbeats to the same peer; it may be
	// nil.
	HeartbeatInterval func() time.Duration
	// OnRead is called after each successful read; it may be nil.
	OnRead func()
	// Reads and Failures count the successful and the failed reads.
	Reads, Failures atomic.Int64

	failures     int
	backoffUntil time.Time
	lastFullRead time.Time
	needFullRead bool
	// largeVersion reports that the last read returned a new version of a large
	// configuration. The store's history may hold many more versions by now, while a
	// complete read returns only the latest.
	largeVersion bool
}

// run reads the store whenever it is due, until ctx ends.
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
		timer.Reset(min(max(time.Until(at), minCheckInterval), maxCheckInterval))
	}
}

// next returns when this daemon reads the store, unless others refresh its snapshot
// before.
func (r *Reader) next() time.Time {
	w := r.State.Snapshot()
	if w.ConfirmedAt.IsZero() || w.Table == nil {
		return r.backoffUntil
	}
	at := w.ConfirmedAt.Add(readAge(r.Rank(), r.heartbeatInterval()))
	if at.Before(r.backoffUntil) {
		return r.backoffUntil
	}
	return at
}

func (r *Reader) heartbeatInterval() time.Duration {
	if r.HeartbeatInterval == nil {
		return 0
	}
	return r.HeartbeatInterval()
}

// readAge returns the age of the snapshot at which the daemon of a rank reads the
// store. In a large fleet a snapshot takes longer to reach every daemon: about half
// the interval of heartbeats to the same peer.
func readAge(rank int, interval time.Duration) time.Duration {
	if rank == 0 {
		return firstReadAge
	}
	secondReadAge := missedReads*firstReadAge + min(max(interval/2, heartbeatInterval), maxSpreadTime)
	return secondReadAge + min(time.Duration(rank-1)*readDelayStep, maxReadDelay)
}

// read reads the store once: completely or, if possible, only what changed.
func (r *Reader) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxReadTime)
	defer cancel()
	silence := time.AfterFunc(readIdleTimeout, cancel)
	defer silence.Stop()
	progress := func() { silence.Reset(readIdleTimeout) }
	started := time.Now()
	revision, fleet := r.State.Listed()
	version := r.State.Snapshot().Version()
	var err error
	if revision == 0 || r.needFullRead || r.largeVersion || started.Sub(r.lastFullRead) > fullReadEvery {
		err = r.readFull(ctx, started, progress)
	} else {
		err = r.readChanges(ctx, started, revision, fleet, progress)
	}
	r.largeVersion = r.State.Snapshot().Version() != version && len(r.State.Table().Routes) >= largeTableRoutes
	r.recordResult(err)
	if err == nil && r.OnRead != nil {
		r.OnRead()
	}
}

func (r *Reader) readFull(ctx context.Context, started time.Time, progress func()) error {
	full, err := r.Source.Read(ctx, progress)
	if err != nil {
		return err
	}
	_, known := r.State.Listed()
	r.State.Merge("store", full.Revision, started, full.Table, replaceFleet(known, full.Targets))
	r.lastFullRead = started
	r.needFullRead = false
	return nil
}

// replaceFleet returns the fleet after a complete read. Entries of known that are newer
// than the read ones of the same target are kept.
func replaceFleet(known fffleet.Fleet, targets []fffleet.Target) fffleet.Fleet {
	var changes []fffleet.Change
	for i := range targets {
		changes = append(changes, fffleet.Change{ID: targets[i].ID, Target: &targets[i]})
	}
	for _, t := range known.Difference(fffleet.New(targets)) {
		changes = append(changes, fffleet.Change{ID: t.ID})
	}
	return known.With(changes)
}

func (r *Reader) readChanges(ctx context.Context, started time.Time, revision uint64, fleet fffleet.Fleet, progress func()) error {
	changes, lost, err := r.Source.Changes(ctx, revision, watchWait, progress)
	if err != nil {
		r.needFullRead = true
		return err
	}
	if lost {
		r.Log.Warn().Uint64("revision", revision).Msg("store no longer has the history after the revision")
		return r.readFull(ctx, started, progress)
	}
	confirmed := started
	if changes.Table == nil && len(changes.Targets) == 0 {
		// A watch without changes confirms the content as of the end of its wait.
		confirmed = started.Add(min(watchWait, time.Since(started)))
	}
	r.State.Merge("store", changes.Revision, confirmed, changes.Table, fleet.With(changes.Targets))
	return nil
}

// recordResult counts the read, sets the backoff after a failure, and logs when the
// store becomes unavailable and available again.
func (r *Reader) recordResult(err error) {
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
	r.backoffUntil = time.Now().Add(pause)
	if r.failures == 1 {
		r.Log.Warn().Err(err).Msg("store lost")
	}
}
