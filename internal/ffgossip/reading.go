package ffgossip

import (
	"time"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
	"fireflyfall.dev/fireflyfall/internal/ffroute"
)

// Reading is content of the store, read by this daemon or pulled from another one.
type Reading struct {
	// From names the source in the log.
	From     string
	Revision Revision
	// ConfirmedAt is when the content was last known to be current.
	ConfirmedAt time.Time
	// Table is nil if it is the known one, or if there is no valid configuration.
	Table *ffroute.Table
	Fleet fffleet.Fleet
	// RetainUntil is until when targets are used whose entries may have expired in an
	// outage of the store; zero if the source knows of none.
	RetainUntil time.Time
}
