package ffgossip

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"fireflyfall.dev/fireflyfall/internal/ffdelegate"
	"fireflyfall.dev/fireflyfall/internal/fffleet"
)

const (
	// readIdleTimeout is how long a call to the store may receive no bytes.
	readIdleTimeout = 900 * time.Millisecond
	// maxReadTime bounds the total time of one read.
	maxReadTime = 5 * time.Second
	// minCheckInterval and maxCheckInterval bound the interval between checks of the
	// snapshot's age, which updates from other daemons reduce.
	minCheckInterval = 40 * time.Millisecond
	maxCheckInterval = 200 * time.Millisecond
	// placeInterval is how long a computed place in the order of readers is used.
	placeInterval = 500 * time.Millisecond
)

// Reader reads the store when it is this daemon's turn.
type Reader struct {
	Source Source
	State  *State
	Log    zerolog.Logger
	// Self is this daemon.
	Self ffdelegate.Member
	// Others returns the other daemons of the fleet that are not leaving, and of all
	// daemons those on the VMs of listed targets.
	Others func() (others, listed []ffdelegate.Member)
	// Fast reports whether the link of a daemon is a fast one, and whether that is known;
	// it may be nil.
	Fast func(vm netip.Addr) (fast, known bool)
	// HeardAt returns when the last heartbeat of another daemon arrived; it may be nil.
	HeardAt func() time.Time
	// OnList is called with the targets that were found in place of a snapshot, and
	// OnNews after each read that changed the snapshot or made this daemon the reader.
	OnList func(targets []fffleet.Target)
	OnNews func()
	// Reads and Failures count the successful and the failed reads.
	Reads, Failures atomic.Int64

	turn         ffdelegate.Turn
	start        ffdelegate.Start
	placeUntil   time.Time
	failures     int
	backoffUntil time.Time
	lastFullRead time.Time
	needFullRead bool
	// moved is set when the store has another address than at the last read.
	moved atomic.Bool
	// largeVersion reports that the last read returned a new version of a large
	// configuration. The store's history may hold many more versions by now, while a
	// complete read returns only the latest.
	largeVersion bool

	mu sync.Mutex
	// readBy is the daemon whose read confirmed the snapshot last.
	readBy netip.Addr
	// newest is the latest revision whose content another daemon has, and waitingSince
	// when this daemon heard of it or last got a part of it.
	newest       Revision
	waitingSince time.Time
}

// run reads the store whenever it is due, until ctx ends.
func (r *Reader) run(ctx context.Context) {
	r.start.StartedAt = time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if err := contain(&r.Log, "read store", func() { r.step(ctx) }); err != nil {
			r.recordResult(err)
		}
		timer.Reset(min(max(time.Until(r.next(time.Now())), minCheckInterval), maxCheckInterval))
	}
}

// step does what is due: it looks for other daemons, or reads the store.
func (r *Reader) step(ctx context.Context) {
	now := time.Now()
	if r.moved.Swap(false) {
		// What failed at the old address tells nothing of the new one, and its history
		// need not be the same.
		r.backoffUntil, r.needFullRead = time.Time{}, true
	}
	if now.Before(r.backoffUntil) {
		return
	}
	r.updatePlace(now)
	if r.State.Snapshot().ConfirmedAt.IsZero() {
		r.State.expect(r.start.ExpectedAt(now))
		if at, ok := r.start.ListDue(); ok && !at.After(now) {
			r.readList(ctx)
			return
		}
	}
	if !r.next(now).After(now) {
		r.read(ctx)
	}
}

// updatePlace computes this daemon's place among the readers anew if it is outdated.
func (r *Reader) updatePlace(now time.Time) {
	if now.Before(r.placeUntil) && r.start.Members > 1 {
		return
	}
	others, listed := r.Others()
	if len(others) > 0 && r.start.FoundAt.IsZero() {
		r.start.FoundAt = now
	}
	place, jitter := ffdelegate.PlaceOf(r.Self, listed), rand.Float64()
	r.start.Place, r.start.Members, r.start.Jitter = place, len(others)+1, jitter
	r.turn.Place, r.turn.Members, r.turn.Jitter = place, len(others)+1, jitter
	r.turn.Fast = r.contender(r.Self.VM).Fast
	r.placeUntil = now.Add(placeInterval)
}

// next returns when this daemon reads the store, unless others refresh its snapshot
// before.
func (r *Reader) next(now time.Time) time.Time {
	var at time.Time
	if r.State.Snapshot().ConfirmedAt.IsZero() {
		start := r.start
		start.Fast = r.contender(r.Self.VM).Fast
		at = start.ReadDue()
	} else {
		at = r.currentTurn().Due(now)
	}
	if at.Before(r.backoffUntil) {
		return r.backoffUntil
	}
	return at
}

// currentTurn returns what this daemon, which has a snapshot, knows now.
func (r *Reader) currentTurn() ffdelegate.Turn {
	t := r.turn
	t.ConfirmedAt = r.State.Snapshot().ConfirmedAt
	if r.HeardAt != nil {
		t.HeardAt = r.HeardAt()
	}
	t.Reader = r.ReadBy() == r.Self.VM
	t.BehindSince = r.behindSince()
	return t
}

// takesOver reports whether a read that starts now makes this daemon the reader.
func (r *Reader) takesOver(now time.Time) bool {
	return r.State.Snapshot().ConfirmedAt.IsZero() || r.currentTurn().TakesOver(now)
}

// ReadBy returns the daemon whose read confirmed the snapshot last.
func (r *Reader) ReadBy() netip.Addr {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readBy
}

// StoreMoved records that the store has another address than before.
func (r *Reader) StoreMoved() { r.moved.Store(true) }

// HeardOfNewer records that another daemon has other content, of a later revision.
func (r *Reader) HeardOfNewer(revision Revision, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.State.Snapshot().Revision.Before(r.newest) {
		r.waitingSince = now
	}
	if r.newest.Before(revision) {
		r.newest = revision
	}
}

// Progressed records that a part of newer content arrived.
func (r *Reader) Progressed(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waitingSince = now
}

// caughtUp records that this daemon read all that the store holds.
func (r *Reader) caughtUp() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.newest = Revision{}
}

// behindSince returns since when no part of the content that this daemon lacks arrived;
// zero if it lacks none.
func (r *Reader) behindSince() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.State.Snapshot().Revision.Before(r.newest) {
		return time.Time{}
	}
	return r.waitingSince
}

// Heard stops this daemon's reading if a daemon that goes before it read age ago.
func (r *Reader) Heard(by netip.Addr, age time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.readBy == r.Self.VM && ffdelegate.Yields(r.contender(r.Self.VM), r.contender(by), age) {
		r.readBy = by
	}
}

func (r *Reader) contender(vm netip.Addr) ffdelegate.Contender {
	c := ffdelegate.Contender{VM: vm}
	if r.Fast != nil {
		c.Fast, c.Known = r.Fast(vm)
	}
	return c
}

// Confirmed records that a read by another daemon confirmed the snapshot.
func (r *Reader) Confirmed(by netip.Addr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.readBy != r.Self.VM {
		r.readBy = by
	}
}

// otherReads reports whether the snapshot came from a read by another daemon.
func (r *Reader) otherReads() bool {
	by := r.ReadBy()
	return by.IsValid() && by != r.Self.VM
}

// becomeReader records that this daemon read the store, and reports whether another
// one did so before.
func (r *Reader) becomeReader() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := r.readBy != r.Self.VM
	r.readBy = r.Self.VM
	return changed
}

// readList reads the list of targets to find the other daemons.
func (r *Reader) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readIdleTimeout)
	defer cancel()
	r.start.AskedAt = time.Now()
	targets, err := r.Source.Targets(ctx)
	r.recordResult(err)
	if err == nil {
		r.OnList(targets)
		r.placeUntil = time.Time{}
		r.updatePlace(time.Now())
	}
}
