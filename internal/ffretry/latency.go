package ffretry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Parameters of the latency histograms. One significant figure keeps the memory
// of a route below 12 KB.
const (
	minLatencyMicros   = 1
	maxLatencyMicros   = 60_000_000
	significantFigures = 1
	latencyWindows     = 2
)

// latencyWindow is the duration of one histogram window.
const latencyWindow = 10 * time.Second

// hedgePercentile is the percentile of recent latencies after which a call is hedged.
const hedgePercentile = 95

// minSamples is the minimum number of latencies for computing a hedge delay.
const minSamples = 50

// latencies holds the recent latencies of a route and its hedge delay.
type latencies struct {
	mu       sync.Mutex
	windows  *hdrhistogram.WindowedHistogram
	rotateAt time.Time
	samples  int
	delay    time.Duration
}

func newLatencies() *latencies {
	return &latencies{
		windows: hdrhistogram.NewWindowed(latencyWindows, minLatencyMicros, maxLatencyMicros, significantFigures),
	}
}

// observe adds the latency of one attempt.
func (l *latencies) observe(latency time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	micros := min(max(latency.Microseconds(), minLatencyMicros), maxLatencyMicros)
	_ = l.windows.Current.RecordValue(micros) // cannot fail: micros is within the range
	l.samples++
	if l.samples >= minSamples && l.delay == 0 || !now.Before(l.rotateAt) {
		l.rotate(now)
	}
}

// rotate recomputes the hedge delay and starts the next window if the current
// one has ended.
func (l *latencies) rotate(now time.Time) {
	merged := l.windows.Merge()
	if merged.TotalCount() >= minSamples {
		l.delay = time.Duration(merged.ValueAtQuantile(hedgePercentile)) * time.Microsecond
	}
	if now.Before(l.rotateAt) {
		return
	}
	l.rotateAt = now.Add(latencyWindow)
	l.windows.Rotate()
}

// hedgeDelay returns the delay after which a call is hedged; zero if there are
// too few latencies.
func (l *latencies) hedgeDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.delay
}
