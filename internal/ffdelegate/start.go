package ffdelegate

import "time"

const (
	// listInterval is the time between two reads of the list of targets by a daemon
	// that knows no other yet, and half of it the time over which they are spread.
	listInterval = 400 * time.Millisecond
	// firstReadDelay is how long a daemon that is not a delegate waits for a
	// snapshot from others, and firstReadSpread the time over which reads after that
	// are spread.
	firstReadDelay  = time.Second
	firstReadSpread = 600 * time.Millisecond
	// loneReadDelay is how long a daemon looks for others before it reads by itself.
	loneReadDelay = 1500 * time.Millisecond
	// firstSpread is how long a fleet that starts as a whole takes, once its daemons know
	// each other, until all have a snapshot; firstSpreadSmall applies to a small one.
	firstSpread      = 700 * time.Millisecond
	firstSpreadSmall = 300 * time.Millisecond
)

// Start is what a daemon without a snapshot knows. All daemons of a fleet may start at
// once, at times before there is a configuration.
type Start struct {
	Place Place
	// Members is the number of daemons known, this one included.
	Members int
	// Fast reports whether the daemon's link is known to be a fast one.
	Fast bool
	// StartedAt is when the process started, and FoundAt when it learned of another
	// daemon.
	StartedAt, FoundAt time.Time
	// AskedAt is when it last read the list of targets; zero before the first time.
	AskedAt time.Time
	Jitter  float64
}

// ListDue returns when the daemon reads the list of targets to find others, and false
// once it knows some. The list may be outdated, which makes it cheap to read.
func (s Start) ListDue() (time.Time, bool) {
	if s.Members > 1 {
		return time.Time{}, false
	}
	if s.AskedAt.IsZero() {
		return s.StartedAt, true
	}
	return s.AskedAt.Add(listInterval + time.Duration(s.Jitter*float64(listInterval/2))), true
}

// ReadDue returns when the daemon reads the store, unless it gets a snapshot from
// another one before.
func (s Start) ReadDue() time.Time {
	switch {
	case s.Members <= 1:
		return s.StartedAt.Add(loneReadDelay)
	case s.Fast:
		return s.FoundAt
	case s.Place.Delegate():
		return s.FoundAt.Add(time.Duration(s.Place.Rank) * rankDelay)
	}
	return s.FoundAt.Add(firstReadDelay + time.Duration(s.Jitter*float64(firstReadSpread)))
}

// ExpectedAt returns when the daemon probably has a snapshot, which clients that come
// before are told. Once that has passed, the daemon's own read is next.
func (s Start) ExpectedAt(now time.Time) time.Time {
	known := s.FoundAt
	if known.IsZero() {
		known = s.StartedAt
	}
	at := known.Add(firstSpread)
	if s.Members > 1 && s.Members <= smallFleet {
		at = known.Add(firstSpreadSmall)
	}
	if at.Before(now) {
		return s.ReadDue()
	}
	return at
}
