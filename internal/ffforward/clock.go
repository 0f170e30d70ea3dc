package ffforward

import "time"

// clockStart is the zero of this daemon's clock. It ticks on while the process
// is frozen, and dies with it.
var clockStart = time.Now()

// clockMicros returns the time on this daemon's clock, in microseconds.
func clockMicros(now time.Time) int64 { return now.Sub(clockStart).Microseconds() }

// clockTime returns the time at which this daemon's clock shows some microseconds.
func clockTime(micros int64) time.Time {
	return clockStart.Add(time.Duration(micros) * time.Microsecond)
}

// remoteClock is what a daemon knows of the clock of another.
type remoteClock struct {
	micros int64
	// heardAt is when the answer with that time came, so that the other clock
	// shows at least as much by now as the time since then makes it.
	heardAt time.Time
}

// at returns a time on the other clock, in microseconds, and rather too early
// than too late.
func (c remoteClock) at(t time.Time) int64 { return c.micros + t.Sub(c.heardAt).Microseconds() }
