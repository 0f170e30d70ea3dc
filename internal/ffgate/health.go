package ffgate

import "time"

// Number of consecutive connection failures after which a target is not ready, and
// the interval between the calls that then probe it.
const (
	failuresUntilNotReady = 3
	probeInterval         = 250 * time.Millisecond
)

// health tracks whether the target is reachable. It relies on connection results
// alone, because a health status reported by the target lags behind. The zero
// value is ready.
type health struct {
	failures int
	probeAt  time.Time
}

func (h *health) ready() bool { return h.failures < failuresUntilNotReady }

// allow reports whether a call may be tried now. While the target is not ready,
// one call per probeInterval is allowed.
func (h *health) allow(now time.Time) bool {
	if h.ready() {
		return true
	}
	if now.Before(h.probeAt) {
		return false
	}
	h.probeAt = now.Add(probeInterval)
	return true
}

func (h *health) connectionFailed(now time.Time) {
	h.failures++
	h.probeAt = now.Add(probeInterval)
}

func (h *health) connectionSucceeded() { h.failures = 0 }
