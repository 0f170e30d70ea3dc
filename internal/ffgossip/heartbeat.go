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
	// Leaving tells that the daemon is about to end.
	Leaving  bool        `json:"leaving,omitempty"`
	Load     ffmesh.Load `json:"load"`
	Revision uint64      `json:"revision"`
	// Age is the age of the word when the heartbeat was sent.
	Age    time.Duration `json:"age"`
	Digest string        `json:"digest"`
}
