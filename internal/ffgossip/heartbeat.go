package ffgossip

import (
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffmesh"
)

// Heartbeat is what a daemon tells the others several times a second. Its fields
// travel in their order, without names.
type Heartbeat struct {
	_          struct{} `cbor:",toarray"`
	Name       string
	DataCentre string
	// Incarnation differs between two lives of a daemon.
	Incarnation uint64
	Sequence    uint64
	// Every is the time until the next heartbeat to the same peer.
	Every time.Duration
	// Leaving tells that the daemon is about to end.
	Leaving  bool
	Load     ffmesh.Load
	Revision uint64
	// Age is the age of the word when the heartbeat was sent.
	Age    time.Duration
	Digest string
}

const (
	// missedBeats is the number of heartbeats that may go missing before a daemon
	// counts as silent.
	missedBeats = 2
	// beatSlack is added for the way and for a busy sender.
	beatSlack = 400 * time.Millisecond
)

// SilentAt returns when a daemon counts as silent whose last heartbeat is h, heard at now.
func (h *Heartbeat) SilentAt(now time.Time) time.Time {
	return now.Add(missedBeats*max(h.Every, heartbeatEvery) + beatSlack)
}
