package ffnode

import (
	"context"
	"time"
)

const (
	// leaveTick is the interval of looks at what is still in work.
	leaveTick = 25 * time.Millisecond
	// unreadyFor is how long clients may send new requests to a daemon that is no
	// longer ready.
	unreadyFor = 2300 * time.Millisecond
	// gateOpen is how long entries may still send calls that were on their way.
	gateOpen = 700 * time.Millisecond
	// quietFor is how long no request may have come before the port is closed.
	quietFor = 300 * time.Millisecond
	// latestClose is when the port is closed though requests still come.
	latestClose = 3500 * time.Millisecond
	// stopMargin is left before the end by force.
	stopMargin = 500 * time.Millisecond
)

// leave ends the daemon's work: no longer ready, no new calls, and the end once
// nothing is in work.
func (n *Node) leave(sv *servers, ready *ready) {
	started := time.Now()
	last := started.Add(n.Settings.Load().StopGrace - stopMargin)
	ctx, cancel := context.WithDeadline(context.Background(), last)
	defer cancel()
	n.Log.Info().Time("latest", last).Msg("leave")
	ready.leaving.Store(true)
	n.Entry.Close()
	n.Gossip.Leave()
	busy := started
	closed := false
	for now := started; now.Before(last); now = time.Now() {
		elapsed := now.Sub(started)
		if elapsed > gateOpen {
			n.Gate.Close()
		}
		if n.Entry.Open() > 0 || n.Gate.Running() > 0 {
			busy = now
		}
		if !closed && (elapsed > latestClose || elapsed > unreadyFor && now.Sub(busy) > quietFor) {
			closed = true
			sv.stopTaking(ctx, n.Log)
			// A request may have come while the port closed.
			busy = time.Now()
			continue
		}
		if closed && now.Sub(busy) > quietFor {
			break
		}
		time.Sleep(leaveTick)
	}
	n.Log.Info().Int64("open", n.Entry.Open()).Int("running", n.Gate.Running()).
		Dur("elapsed", time.Since(started)).Msg("left")
}
