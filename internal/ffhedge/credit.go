package ffhedge

import "time"

// maxCredit is the greatest credit, in work, that calls without copies can save up: a spell
// of slow answers must not cost at once what calm minutes left.
const maxCredit = time.Second

// Credit is the work that an entry may still spend on copies of calls to one service. It
// earns a share of the work of its own calls, so the sum over all entries stays within that
// share of the service's work, however many there are and whatever they know of each other.
// It is immutable, and the zero value allows none: an entry that starts again knows nothing
// of what it spent.
type Credit struct{ work time.Duration }

// WithCall returns c after a call that cost work.
func (c Credit) WithCall(work time.Duration, l Limit) Credit {
	c.work = min(c.work+time.Duration(l.share*float64(work)), maxCredit)
	return c
}

// WithExtra returns c after a copy of a call, or a call that a copied run made, which costs
// work.
func (c Credit) WithExtra(work time.Duration) Credit {
	c.work -= work
	return c
}

// Allows reports whether there is credit for a copy that costs work.
func (c Credit) Allows(work time.Duration) bool { return work > 0 && c.work >= work }
