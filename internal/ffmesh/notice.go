package ffmesh

import "time"

// Notice is what a target says of itself in its responses, whichever call they answer.
type Notice struct {
	// Leaving reports that the target is shutting down and must get no new calls.
	Leaving bool
	// Limited reports that the target takes at most Limit calls per second, from all
	// entries together, for as long as its responses say so.
	Limited bool
	Limit   float64
	// Warming reports that the target said for how long it stays cold, ColdFor; 0 if it is
	// warm.
	Warming bool
	ColdFor time.Duration
}
