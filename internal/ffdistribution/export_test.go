package ffdistribution

import "time"

// Beat records a heartbeat of the pause detector at the given time.
func (n *Node) Beat(now time.Time) { n.beat(now) }
