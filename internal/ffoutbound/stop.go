package ffoutbound

import "time"

// Stop decides which requests an entry accepts while its daemon stops. It is for clients
// that go on sending until the end, so that no request is cut off by it. The zero
// value accepts all.
type Stop struct {
	// LateAfter is when clients have had time to leave, and EndsAt when the last response
	// must have been sent.
	LateAfter, EndsAt time.Time
}

// Accepts reports whether a request is accepted: a late one only if it ends in time.
func (s Stop) Accepts(received, deadline time.Time) bool {
	return s.EndsAt.IsZero() || received.Before(s.LateAfter) || !deadline.After(s.EndsAt)
}

// Limit returns the deadline of an accepted request, which is answered before the end.
func (s Stop) Limit(deadline time.Time) time.Time {
	if s.EndsAt.IsZero() || deadline.Before(s.EndsAt) {
		return deadline
	}
	return s.EndsAt
}
