package ffgossip

import (
	"context"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// maxDatagram is the size of the longest heartbeat that can be received, in bytes.
const maxDatagram = 1400

// runReceive receives the heartbeats of other daemons.
func (n *Node) runReceive(ctx context.Context) {
	buffer := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		size, from, err := n.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				n.Log.Warn().Err(err).Msg("failed to receive a heartbeat")
			}
			continue
		}
		_ = contain(&n.Log, "receive a heartbeat", func() { n.receive(from.Addr().Unmap(), buffer[:size]) })
	}
}

// receive processes a heartbeat. If the peer's content is the same, it confirms this
// daemon's; if it differs and is not older, a pull is queued. A peer that has none yet gets
// an answer: the first time, and from then on if this daemon has some.
func (n *Node) receive(vm netip.Addr, b []byte) {
	var h Heartbeat
	if err := cbor.Unmarshal(b, &h); err != nil {
		n.Log.Warn().Err(err).Stringer("peer", vm).Msg("invalid heartbeat")
		return
	}
	now := time.Now()
	last, known := n.Peers.Get(vm)
	known = known && last.LastHeartbeat.Incarnation == h.Incarnation
	if !n.Peers.Record(vm, h, now) {
		return
	}
	n.OnHeartbeat(vm, h)
	w := n.State.Snapshot()
	if h.Digest == "" {
		if !known || !w.ConfirmedAt.IsZero() {
			n.send([]netip.Addr{vm})
		}
		return
	}
	n.Reader.Heard(h.ReadBy, h.Age)
	if h.Revision.Before(w.Revision) {
		return
	}
	if h.Digest == n.digest() {
		if n.State.Confirm(h.Revision, now.Add(-h.Age)) {
			n.Reader.Confirmed(h.ReadBy)
		}
		return
	}
	if w.Revision.Before(h.Revision) {
		n.Reader.HeardOfNewer(h.Revision, now)
	}
	select {
	case n.pulls <- vm:
	default:
	}
}
