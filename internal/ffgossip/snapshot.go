package ffgossip

import (
	"strconv"
	"time"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
	"fireflyfall.dev/fireflyfall/internal/ffroute"
)

// Snapshot is an immutable snapshot of the store's content at one revision.
type Snapshot struct {
	Revision Revision
	// ConfirmedAt is when the content was last known to be current.
	ConfirmedAt time.Time
	// Table is nil while no configuration is known.
	Table *ffroute.Table
	// Fleet includes the targets retained after an outage of the store.
	Fleet fffleet.Fleet
}

// Digest identifies the content of w, ignoring the targets' heartbeats.
func (w *Snapshot) Digest() string {
	return strconv.FormatUint(w.Version(), 10) + "." + strconv.FormatUint(w.Fleet.Digest(), 16)
}

// Version returns the version of the configuration, or 0 while there is none.
func (w *Snapshot) Version() uint64 {
	if w.Table == nil {
		return 0
	}
	return w.Table.Version
}
