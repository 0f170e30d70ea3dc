package ffgossip

import (
	"net/netip"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffmesh"
)

// Heartbeat is the message that a daemon sends to the others several times a second.
// Its fields are encoded by position, without names.
type Heartbeat struct {
	_          struct{} `cbor:",toarray"`
	DataCentre string
	// Incarnation differs between two runs of a daemon.
	Incarnation uint64
	Sequence    uint64
	// Every is the time until the next heartbeat to the same peer; 0 if none is planned.
	Every time.Duration
	// Leaving reports that the daemon is shutting down.
	Leaving  bool
	Load     ffmesh.Load
	Revision Revision
	// Age is the age of the snapshot when the heartbeat was sent.
	Age    time.Duration
	Digest string
	// ReadBy is the VM of the daemon whose read confirmed the snapshot.
	ReadBy netip.Addr
}

const (
	// missedHeartbeats is the number of heartbeats that may be lost before a daemon
	// counts as silent.
	missedHeartbeats = 2
	// heartbeatSlack allows for network delay and a busy sender.
	heartbeatSlack = 400 * time.Millisecond
)

// SilentAt returns when a daemon counts as silent if h, received at now, stays its
// last heartbeat. The time is zero if no further heartbeat is planned.
func (h *Heartbeat) SilentAt(now time.Time) time.Time {
	if h.Every == 0 {
		return time.Time{}
	}
	return now.Add(missedHeartbeats*h.Every + heartbeatSlack)
}
