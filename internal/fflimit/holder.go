package fflimit

import "time"

// forgetHolder is the time after which a holder that asks no more is forgotten,
// longer than an ask can be under way.
const forgetHolder = time.Minute

// activeMargin is the time for which a holder's next ask may be late.
const activeMargin = time.Second

// holder is what an allocator knows of one that asks.
type holder struct {
	seq     uint64
	askedAt time.Time
	loan    bool
	// served tells that it has the permits without which tokens are of no use.
	served bool
	// activeUntil is the time by which its next ask is due.
	activeUntil time.Time
	// demand is the number of calls a second that it sees.
	demand float64
	// wanted is the number of permits that it asked for.
	wanted int
	// lacked is the number of permits that it asked for and did not get.
	lacked int
	// exposure bounds the permits that it may use until a time.
	exposure int
	until    time.Time
}

// exposed returns the permits that the holder may still use.
func (h *holder) exposed(now time.Time) int {
	if !now.Before(h.until) {
		return 0
	}
	return h.exposure
}

// active reports whether the holder still asks.
func (h *holder) active(now time.Time) bool { return !h.loan && now.Before(h.activeUntil) }
