package ffdelegate

import (
	"net/netip"
	"time"
)

const (
	// readInterval is the time between two reads of the reader.
	readInterval = 250 * time.Millisecond
	// aloneInterval replaces it for a reader that no other daemon hears.
	aloneInterval = time.Second
	// missedReads is the number of reads that a delegate lets the reader miss.
	missedReads = 2
	// spreadTime is how long a confirmation takes to reach all daemons of a small
	// fleet, spreadTimeLarge of one with more than smallFleet members.
	spreadTime      = 300 * time.Millisecond
	spreadTimeLarge = 500 * time.Millisecond
	smallFleet      = 16
	// rankDelay is the additional wait of each further delegate, and maxRankDelay the
	// upper limit of the sum.
	rankDelay    = 60 * time.Millisecond
	maxRankDelay = 400 * time.Millisecond
	// lastResortAge is the age of the snapshot at which a daemon that is not a delegate
	// reads, at the earliest; lastResortAgeAlone applies to one that hears no other.
	// lastResortSpread is the time over which such reads are spread.
	lastResortAge      = 1600 * time.Millisecond
	lastResortAgeAlone = 1200 * time.Millisecond
	lastResortSpread   = 400 * time.Millisecond
	// behindAge is how long a daemon that lacks known content waits for another daemon
	// to send it, and behindSpread the time over which reads after that are spread; in a
	// small fleet behindSpreadSmall.
	behindAge         = 300 * time.Millisecond
	behindSpread      = 400 * time.Millisecond
	behindSpreadSmall = 100 * time.Millisecond
	// recentRead is the age up to which a read shows that its daemon still reads. It is
	// less than the age at which a delegate takes over.
	recentRead = 700 * time.Millisecond
	// silentAfter is the time without a heartbeat after which a daemon counts as alone.
	silentAfter = 700 * time.Millisecond
)

const (
	// minBackoff is the mean wait of a delegate after its first failed read. It doubles
	// with each further one, maxDoublings times at most, up to maxBackoff.
	minBackoff   = 150 * time.Millisecond
	maxBackoff   = 1200 * time.Millisecond
	maxDoublings = 4
	// lastResortBackoff is the mean wait of a daemon that is not a delegate.
	lastResortBackoff = 3 * time.Second
)

// Turn is what a daemon knows when it decides when to read the store again.
type Turn struct {
	Place Place
	// Members is the number of daemons, this one included.
	Members int
	// Fast reports whether the daemon's link is known to be a fast one, which makes it a
	// delegate.
	Fast bool
	// ConfirmedAt is when the daemon's snapshot was last known to be current.
	ConfirmedAt time.Time
	// BehindSince is when the daemon heard of content that it still lacks, or last got a
	// part of that content; zero if it lacks none.
	BehindSince time.Time
	// Reader reports whether this daemon is the reader, which read last at ReadAt.
	Reader bool
	ReadAt time.Time
	// HeardAt is when the last heartbeat of another daemon arrived.
	HeardAt time.Time
	// Jitter is a random number from 0 to 1 that differs between daemons.
	Jitter float64
}

// Due returns when the daemon reads, unless others refresh its snapshot before.
func (t Turn) Due(now time.Time) time.Time {
	at := t.dueByAge(now)
	if behindAt := t.behindDue(); !t.BehindSince.IsZero() && behindAt.Before(at) {
		return behindAt
	}
	return at
}

// TakesOver reports whether a daemon that reads at now becomes the reader. One that
// only lacks content leaves that to the daemon that has read it.
func (t Turn) TakesOver(now time.Time) bool { return !t.dueByAge(now).After(now) }

// behindDue returns when a daemon reads that lacks content since BehindSince.
func (t Turn) behindDue() time.Time {
	if t.Members > smallFleet {
		return t.BehindSince.Add(behindAge + t.spread(behindSpread))
	}
	return t.BehindSince.Add(behindAge + t.spread(behindSpreadSmall))
}

// dueByAge returns when the daemon reads by the age of its snapshot.
func (t Turn) dueByAge(now time.Time) time.Time {
	alone := now.Sub(t.HeardAt) > silentAfter
	switch {
	case t.Reader && alone && t.Members > 1:
		return t.ReadAt.Add(aloneInterval)
	case t.Reader || t.Place.Rank == 0 && t.Members <= smallFleet:
		return t.ReadAt.Add(readInterval)
	case t.Fast || t.Place.Delegate():
		return t.ConfirmedAt.Add(t.delegateAge())
	case alone:
		return t.ConfirmedAt.Add(lastResortAgeAlone + t.spread(lastResortSpread))
	}
	return t.ConfirmedAt.Add(lastResortAge + t.spread(lastResortSpread))
}

// delegateAge is the age of the snapshot at which a delegate reads.
func (t Turn) delegateAge() time.Duration {
	age := missedReads*readInterval + spreadTime
	if t.Members > smallFleet {
		age = missedReads*readInterval + spreadTimeLarge
	}
	if t.Fast {
		return age + t.spread(maxRankDelay)
	}
	return age + min(time.Duration(t.Place.Rank)*rankDelay, maxRankDelay)
}

// spread returns the part of d that falls to this daemon.
func (t Turn) spread(d time.Duration) time.Duration {
	return time.Duration(t.Jitter * float64(d))
}

// Contender is one of several daemons that all take themselves for the reader.
type Contender struct {
	VM netip.Addr
	// Fast reports whether its link is a fast one, and Known whether that is known.
	Fast, Known bool
}

// Yields reports whether self, which reads, leaves it to another daemon that last read
// age ago. Of two daemons that both read the one with the slower link stops, or else
// the second in order.
func Yields(self, other Contender, age time.Duration) bool {
	switch {
	case age >= recentRead:
		return false
	case other.Known && self.Fast != other.Fast:
		return other.Fast
	}
	return Precedes(other.VM, self.VM)
}

// RetryAfter returns how long a daemon waits after failed reads; random is from 0 to 1.
// Those that are not delegates leave it to the others to find out when the store is
// available again.
func (p Place) RetryAfter(failures int, random float64) time.Duration {
	pause := min(minBackoff<<min(max(failures-1, 0), maxDoublings), maxBackoff)
	if !p.Delegate() {
		pause = lastResortBackoff
	}
	return pause/2 + time.Duration(random*float64(pause))
}
