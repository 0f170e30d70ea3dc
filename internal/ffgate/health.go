package ffgate

import "time"

// Connection failures in a row that make a target not ready, and the spacing of
// the calls that then probe it.
const (
	failuresUntilNotReady = 3
	probeSpacing          = 250 * time.Millisecond
)

// health judges by connections alone whether the target can be reached; what
// it reports of itself lags. The zero value is ready.
type health struct {
	failures int
	probeAt  time.Time
}

func (h *health) ready() bool { return h.failures < failuresUntilNotReady }

// allow reports whether a call may be tried now; while the target is not ready,
// one call for each spacing is.
func (h *health) allow(now time.Time) bool {
	if h.ready() {
		return true
	}
	if now.Before(h.probeAt) {
		return false
	}
	h.probeAt = now.Add(probeSpacing)
	return true
}

func (h *health) failed(now time.Time) {
	h.failures++
	h.probeAt = now.Add(probeSpacing)
}

func (h *health) reached() { h.failures = 0 }
