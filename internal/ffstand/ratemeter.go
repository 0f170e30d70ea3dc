package ffstand

import "time"

// Counters holds the counts of the platform since the last reset.
type Counters struct {
	// Calls is the number of calls, where a waiting watch counts once per second.
	Calls uint64 `json:"calls"`
	// Requests is the number of requests.
	Requests uint64 `json:"requests"`
	// Refused is the number of requests refused by the rate limit.
	Refused uint64 `json:"refused"`
	// HighestCallsPerSecond is the greatest number of calls in one second, including
	// refused ones.
	HighestCallsPerSecond uint64 `json:"highestCallsPerSecond"`
	// SecondsAboveLimit is the number of seconds with more calls than the limit.
	SecondsAboveLimit uint64 `json:"secondsAboveCeiling"`
	// Waiting is the number of watches that are waiting.
	Waiting uint64 `json:"waiting"`
	// BytesSent is the number of bytes of content sent.
	BytesSent uint64 `json:"bytesSent"`
}

// rateMeter counts calls per second of the clock and limits them. A watch counts
// when it begins and again in each later second in which it still waits. It is not
// safe for concurrent use.
type rateMeter struct {
	// limit is the number of calls allowed in one second; zero allows all.
	limit           uint64
	second          int64
	callsThisSecond uint64
	counters        Counters
}

// admit counts a request at now and reports whether it is within the limit.
func (m *rateMeter) admit(now time.Time) bool {
	m.advance(now)
	m.counters.Requests++
	m.count(1)
	if m.limit > 0 && m.callsThisSecond > m.limit {
		m.counters.Refused++
		return false
	}
	return true
}

// beginWait counts a watch as waiting from now.
func (m *rateMeter) beginWait(now time.Time) {
	m.advance(now)
	m.counters.Waiting++
}

// endWait counts a watch as no longer waiting.
func (m *rateMeter) endWait(now time.Time) {
	m.advance(now)
	m.counters.Waiting--
}

// advance adds one call per waiting watch for each second that began since the
// last call of advance.
func (m *rateMeter) advance(now time.Time) {
	second := now.Unix()
	if second <= m.second {
		return
	}
	begun := uint64(second - m.second)
	m.second = second
	m.callsThisSecond = 0
	if m.counters.Waiting == 0 {
		return
	}
	m.count(m.counters.Waiting)
	m.counters.Calls += (begun - 1) * m.counters.Waiting
	if m.limit > 0 && m.counters.Waiting > m.limit {
		m.counters.SecondsAboveLimit += begun - 1
	}
}

// count adds n calls to the current second.
func (m *rateMeter) count(n uint64) {
	before := m.callsThisSecond
	m.callsThisSecond += n
	m.counters.Calls += n
	m.counters.HighestCallsPerSecond = max(m.counters.HighestCallsPerSecond, m.callsThisSecond)
	if m.limit > 0 && before <= m.limit && m.callsThisSecond > m.limit {
		m.counters.SecondsAboveLimit++
	}
}

// snapshot returns the counters at now.
func (m *rateMeter) snapshot(now time.Time) Counters {
	m.advance(now)
	return m.counters
}

// reset sets the counters to zero at now, except for the waiting watches.
func (m *rateMeter) reset(now time.Time) {
	m.advance(now)
	m.callsThisSecond = 0
	m.counters = Counters{Waiting: m.counters.Waiting}
}
