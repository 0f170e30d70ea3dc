package ffnode

import (
	"context"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffoutbound"
)

const (
	// drainPollInterval is the interval of checks for requests in progress.
	drainPollInterval = 25 * time.Millisecond
	// minUnreadyTime is the time for which the client port stays open after the daemon
	// reports not ready, since clients may still send new requests.
	minUnreadyTime = 2300 * time.Millisecond
	// gateOpenTime is the time for which the gate still accepts calls that entries
	// sent before they learned of the drain.
	gateOpenTime = 700 * time.Millisecond
	// quietTime is the time without any request in progress that must pass before the
	// client port is closed, and again before the drain ends.
	quietTime = 300 * time.Millisecond
	// maxPortOpenTime is the time from the start of the drain after which the client
	// port is closed even if requests still arrive.
	maxPortOpenTime = 3500 * time.Millisecond
	// answerMargin is the time between the last answers and the end of the drain.
	answerMargin = 200 * time.Millisecond
	// stopMargin is the time between the end of the drain and the forced end of the
	// process.
	stopMargin = 500 * time.Millisecond
)

// drain reports the daemon as not ready, closes its gate and its client port to new
// requests, and returns when no request is in progress and clients have received the
// responses, or the grace period, less stopMargin, is over.
func (n *Node) drain(sv *servers, ready *readyHandler) {
	started := time.Now()
	deadline := started.Add(n.Settings.Load().StopGrace - stopMargin)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	n.Log.Info().Time("latest", deadline).Msg("leave")
	ready.draining.Store(true)
	stop := ffoutbound.Stop{LateAfter: started.Add(minUnreadyTime), EndsAt: deadline.Add(-answerMargin)}
	n.Entry.Stop(stop)
	n.Gossip.Leave()
	lastBusy := started
	portClosed := false
	for now := started; now.Before(deadline); now = time.Now() {
		elapsed := now.Sub(started)
		if elapsed > gateOpenTime {
			n.Gate.Close()
		}
		if n.Entry.InFlight() > 0 || n.Gate.Running() > 0 || portClosed && sv.clients.Undelivered() > 0 {
			lastBusy = now
		}
		if !portClosed && (elapsed > maxPortOpenTime || now.After(stop.EndsAt) || elapsed > minUnreadyTime && now.Sub(lastBusy) > quietTime) {
			portClosed = true
			sv.closeClientPort(ctx, n.Log)
			// A request may have arrived while the port was being closed.
			lastBusy = time.Now()
			continue
		}
		if portClosed && now.Sub(lastBusy) > quietTime {
			break
		}
		time.Sleep(drainPollInterval)
	}
	n.Log.Info().Int64("open", n.Entry.InFlight()).Int("running", n.Gate.Running()).
		Int("undelivered", sv.clients.Undelivered()).
		Dur("elapsed", time.Since(started)).Msg("left")
}
