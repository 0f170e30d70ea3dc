package ffgossip

import (
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffmesh"
)

// Heartbeat is what a daemon tells the others several times a second.
type Heartbeat struct {
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	// Incarnation differs between two lives of a daemon.
	Incarnation uint64 `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
	// Every is the time until the next heartbeat to the same peer.
	Every time.Duration `json:"every,omitempty"`
	// Leaving tells that the daemon is about to end.
	Leaving  bool        `json:"leaving,omitempty"`
	Load     ffmesh.Load `json:"load"`
	Revision uint64      `json:"revision"`
	// Age is the age of the word when the heartbeat was sent.
	Age    time.Duration `json:"age"`
	Digest string        `json:"digest"`
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
