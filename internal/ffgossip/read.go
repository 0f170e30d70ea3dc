package ffgossip

import (
	"context"
	"math/rand/v2"
	"time"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
)

const (
	// largeTableRoutes is the number of routes from which transferring a version takes
	// a notable time on a slow link.
	largeTableRoutes = 300
	// watchWait is how long a watch call waits for the first change.
	watchWait = 450 * time.Millisecond
	// fullReadEvery is the time after which a reader does a complete read again, since
	// a watch may have missed changes.
	fullReadEvery = 8 * time.Second
)

// read reads the store once: completely or, if possible, only what changed.
func (r *Reader) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxReadTime)
	defer cancel()
	silence := time.AfterFunc(readIdleTimeout, cancel)
	defer silence.Stop()
	progress := func() { silence.Reset(readIdleTimeout) }
	started := time.Now()
	starts, takesOver := r.State.Snapshot().ConfirmedAt.IsZero(), r.takesOver(started)
	revision, fleet := r.State.Listed()
	version, digest := r.State.Snapshot().Version(), r.State.Snapshot().Digest()
	var err error
	if revision == (Revision{}) || r.needFullRead || r.largeVersion || started.Sub(r.lastFullRead) > fullReadEvery {
		err = r.readFull(ctx, started, progress)
	} else {
		err = r.readChanges(ctx, started, revision, fleet, progress)
	}
	r.largeVersion = r.State.Snapshot().Version() != version && len(r.State.Table().Routes) >= largeTableRoutes
	r.recordResult(err)
	if err != nil {
		return
	}
	r.turn.ReadAt = started
	r.caughtUp()
	// A daemon that starts may have got its snapshot from another one meanwhile.
	takesOver = takesOver && !(starts && r.otherReads())
	changedReader := takesOver && r.becomeReader()
	if (changedReader || r.State.Snapshot().Digest() != digest) && r.OnNews != nil {
		r.OnNews()
	}
}

func (r *Reader) readFull(ctx context.Context, started time.Time, progress func()) error {
	full, err := r.Source.Read(ctx, progress)
	if err != nil {
		return err
	}
	revision, known := r.State.Listed()
	if full.Revision.Before(revision) {
		r.Log.Warn().Stringer("known", revision).Stringer("read", full.Revision).Msg("store is older than what is known of it")
	}
	r.State.Merge(Reading{
		From: "store", Revision: full.Revision, ConfirmedAt: started, Table: full.Table.WithRoutesOf(r.State.Table()),
		Fleet: replaceFleet(known, full.Targets).WithEvacuated(full.Evacuated), RetainUntil: r.retainUntil(),
	})
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

func (r *Reader) readChanges(ctx context.Context, started time.Time, revision Revision, fleet fffleet.Fleet, progress func()) error {
	changes, lost, err := r.Source.Changes(ctx, revision, watchWait, progress)
	if err != nil {
		r.needFullRead = true
		return err
	}
	if lost {
		r.Log.Warn().Stringer("revision", revision).Msg("store does not have the history after the revision")
		return r.readFull(ctx, started, progress)
	}
	confirmed := started
	if changes.Table == nil && len(changes.Targets) == 0 && len(changes.Evacuations) == 0 {
		// A watch without changes confirms the content as of the end of its wait.
		confirmed = started.Add(min(watchWait, time.Since(started)))
	}
	r.State.Merge(Reading{
		From: "store", Revision: changes.Revision, ConfirmedAt: confirmed, Table: changes.Table.WithRoutesOf(r.State.Table()),
		Fleet: fleet.With(changes.Targets).WithEvacuations(changes.Evacuations), RetainUntil: r.retainUntil(),
	})
	return nil
}

// retainUntil returns until when a target is still used whose entry may have expired in an
// outage that ends with this read; zero if no read failed before it.
func (r *Reader) retainUntil() time.Time {
	if r.failures == 0 {
		return time.Time{}
	}
	return time.Now().Add(expiryGrace)
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
	r.backoffUntil = time.Now().Add(r.turn.Place.RetryAfter(r.failures, rand.Float64()))
	if r.failures == 1 {
		r.Log.Warn().Err(err).Msg("store lost")
	}
}
