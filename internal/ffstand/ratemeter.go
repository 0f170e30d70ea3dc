package ffstand

import "time"

// Counters is what the platform has counted since the last reset.
type Counters struct {
	// Calls is the number of calls, a waiting watch counted once a second.
	Calls uint64 `json:"calls"`
	// Requests is the number of requests.
	Requests uint64 `json:"requests"`
	// Refused is the number of requests above the ceiling.
	Refused uint64 `json:"refused"`
	// HighestCallsPerSecond is the greatest number of calls in one second, refused ones too.
	HighestCallsPerSecond uint64 `json:"highestCallsPerSecond"`
	// SecondsAboveCeiling is the number of seconds with more calls than the ceiling.
	SecondsAboveCeiling uint64 `json:"secondsAboveCeiling"`
	// Waiting is the number of watches that wait now.
	Waiting uint64 `json:"waiting"`
	// BytesSent is the number of bytes of content sent.
	BytesSent uint64 `json:"bytesSent"`
}

// rateMeter counts calls by whole seconds. A watch counts when it begins and
// again in each later second in which it still waits. It is not safe for
// concurrent use.
type rateMeter struct {
	// ceiling is the number of calls allowed in one second; zero allows all.
	ceiling  uint64
	second   int64
	inSecond uint64
	counters Counters
}

// admit counts a request at now and reports whether it is within the ceiling.
func (m *rateMeter) admit(now time.Time) bool {
	m.advance(now)
	m.counters.Requests++
	m.count(1)
	if m.ceiling > 0 && m.inSecond > m.ceiling {
		m.counters.Refused++
		return false
	}
	return true
}

// beginWait counts a watch that waits from now.
func (m *rateMeter) beginWait(now time.Time) {
	m.advance(now)
	m.counters.Waiting++
}

// endWait counts a watch that waits no more.
func (m *rateMeter) endWait(now time.Time) {
	m.advance(now)
	m.counters.Waiting--
}

// advance charges the waiting watches for each second begun until now.
func (m *rateMeter) advance(now time.Time) {
	second := now.Unix()
	if second <= m.second {
		return
	}
	begun := uint64(second - m.second)
	m.second = second
	m.inSecond = 0
	if m.counters.Waiting == 0 {
		return
	}
	m.count(m.counters.Waiting)
	m.counters.Calls += (begun - 1) * m.counters.Waiting
	if m.ceiling > 0 && m.counters.Waiting > m.ceiling {
		m.counters.SecondsAboveCeiling += begun - 1
	}
}

func (m *rateMeter) count(n uint64) {
	before := m.inSecond
	m.inSecond += n
	m.counters.Calls += n
	m.counters.HighestCallsPerSecond = max(m.counters.HighestCallsPerSecond, m.inSecond)
	if m.ceiling > 0 && before <= m.ceiling && m.inSecond > m.ceiling {
		m.counters.SecondsAboveCeiling++
	}
}

// snapshot returns the counters at now.
func (m *rateMeter) snapshot(now time.Time) Counters {
	m.advance(now)
	return m.counters
}

// reset clears the counters at now; watches that wait go on counting.
func (m *rateMeter) reset(now time.Time) {
	m.advance(now)
	m.inSecond = 0
	m.counters = Counters{Waiting: m.counters.Waiting}
}
