package ffgossip

import (
	"context"
	"time"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
	"fireflyfall.dev/fireflyfall/internal/ffroute"
)

// Source is the platform's store. Its methods call progress whenever bytes arrive.
type Source interface {
	// Targets returns some targets, the same to all callers, of a list that may be
	// seconds old, at a fraction of the cost of Read.
	Targets(ctx context.Context) ([]fffleet.Target, error)
	// Read returns the configuration and all targets.
	Read(ctx context.Context, progress func()) (*StoreContent, error)
	// Changes returns the changes after a revision and waits up to wait for the first
	// one. lost reports that the store does not have the history after that revision, so
	// that a complete read is needed: it was dropped, or belongs to an earlier epoch.
	Changes(ctx context.Context, after Revision, wait time.Duration, progress func()) (changes *Changes, lost bool, err error)
}

// StoreContent is the configuration and all targets in the store at one revision.
type StoreContent struct {
	Revision Revision
	// Table is nil when there is no valid configuration.
	Table   *ffroute.Table
	Targets []fffleet.Target
	// Evacuated holds the data centres whose targets are to get no calls.
	Evacuated []string
}

// Changes holds the changes up to a revision.
type Changes struct {
	Revision Revision
	// Table is the newest configuration among the changes, or nil.
	Table   *ffroute.Table
	Targets []fffleet.Change
	// Evacuations holds the evacuations that were started and ended, in order.
	Evacuations []fffleet.Evacuation
}
