package ffgossip

import (
	"context"
	"time"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
	"fireflyfall.dev/fireflyfall/internal/ffroute"
)

// Source is the platform's store. Its methods call progress whenever bytes come.
type Source interface {
	// Read returns everything.
	Read(ctx context.Context, progress func()) (*Full, error)
	// Changes returns what changed after a revision. It waits a while for the first
	// change. Lost tells that the history is gone and everything must be read.
	Changes(ctx context.Context, after uint64, wait time.Duration, progress func()) (changes *Changes, lost bool, err error)
}

// Full is everything that the store holds for us at one revision.
type Full struct {
	Revision uint64
	// Table is nil when there is no readable configuration.
	Table   *ffroute.Table
	Targets []fffleet.Target
}

// Changes is what changed up to a revision.
type Changes struct {
	Revision uint64
	// Table is the newest configuration among the changes, or nil.
	Table   *ffroute.Table
	Targets []fffleet.Change
}
