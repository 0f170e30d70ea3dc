package ffgossip

import (
	"strconv"
	"time"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
	"fireflyfall.dev/fireflyfall/internal/ffroute"
)

// Word is what the store said at one revision. It is immutable.
type Word struct {
	Revision uint64
	// Confirmed is when the store was last known to say so.
	Confirmed time.Time
	// Table is nil while no configuration is known.
	Table *ffroute.Table
	Fleet fffleet.Fleet
}

// Digest names the content of w but for heartbeats of targets.
func (w *Word) Digest() string {
	return strconv.FormatUint(w.Version(), 10) + "." + strconv.FormatUint(w.Fleet.Digest(), 16)
}

// Version returns the version of the configuration; 0 when none is known.
func (w *Word) Version() uint64 {
	if w.Table == nil {
		return 0
	}
	return w.Table.Version
}
