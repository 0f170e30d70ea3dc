package ffforward

import "time"

// clockStart is the zero of this daemon's monotonic clock. The clock continues while
// the process is suspended and starts anew with each process.
var clockStart = time.Now()

// clockMicros returns the time on this daemon's clock, in microseconds.
func clockMicros(now time.Time) int64 { return now.Sub(clockStart).Microseconds() }

// clockTime returns the time that corresponds to micros on this daemon's clock.
func clockTime(micros int64) time.Time {
	return clockStart.Add(time.Duration(micros) * time.Microsecond)
}

// remoteClock is a reading of another daemon's clock.
type remoteClock struct {
	micros int64
	// receivedAt is the local time at which the reading arrived. The reading was
	// taken earlier, so the remote clock is at least at micros at that time.
	receivedAt time.Time
}

// at converts a local time to the remote clock, in microseconds. The result is never
// too late, apart from clock drift; it is early by the delay of the reading.
func (c remoteClock) at(t time.Time) int64 { return c.micros + t.Sub(c.receivedAt).Microseconds() }
