package fflimit

import "time"

// holderIdleTimeout is the time after which a holder that sends no requests is
// dropped. It is longer than a request can be in flight.
const holderIdleTimeout = time.Minute

// activeGrace is the time by which a holder's next request may be late.
const activeGrace = time.Second

// holder is an allocator's state of one requester.
type holder struct {
	seq         uint64
	requestedAt time.Time
	loan        bool
	// canUseTokens reports that the holder was granted a permit or requested none;
	// without a permit, tokens are of no use to it.
	canUseTokens bool
	// activeUntil is the time by which the next request is due.
	activeUntil time.Time
	// demand is the number of calls per second that the holder receives.
	demand float64
	// wantedPermits is the number of permits that the holder requested.
	wantedPermits int
	// deniedPermits is the number of permits that the holder requested and did not get.
	deniedPermits int
	// reservedPermits is an upper bound on the permits that the holder may use until
	// reservedUntil.
	reservedPermits int
	reservedUntil   time.Time
}

// reserved returns the number of permits that the holder may still use.
func (h *holder) reserved(now time.Time) int {
	if !now.Before(h.reservedUntil) {
		return 0
	}
	return h.reservedPermits
}

// active reports whether the holder is a daemon of the cell that still sends requests.
func (h *holder) active(now time.Time) bool { return !h.loan && now.Before(h.activeUntil) }
