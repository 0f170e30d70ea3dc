package ffdistribution

import "time"

// Beat is a beat of the pause detector at a time of the test's choice.
func (n *Node) Beat(now time.Time) { n.beat(now) }
