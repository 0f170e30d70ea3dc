package ffgossip

import (
	"context"
	"net/netip"
	"time"
)

const (
	// pullIdleTimeout is how long a pull may receive no bytes.
	pullIdleTimeout = 500 * time.Millisecond
	// maxPullTime bounds the total time of one pull.
	maxPullTime = 3 * time.Second
	// maxPendingPulls is the maximum number of queued pulls.
	maxPendingPulls = 8
)

// runPulls pulls the snapshots of peers with newer content.
func (n *Node) runPulls(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case vm := <-n.pulls:
			_ = contain(&n.Log, "pull a snapshot", func() { n.pullFrom(ctx, vm) })
		}
	}
}

// pullFrom pulls the snapshot of a peer unless this daemon has caught up meanwhile.
func (n *Node) pullFrom(ctx context.Context, vm netip.Addr) {
	peer, ok := n.Peers.Get(vm)
	if !ok || peer.LastHeartbeat.Revision.Before(n.State.Snapshot().Revision) || peer.LastHeartbeat.Digest == n.digest() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, maxPullTime)
	defer cancel()
	silence := time.AfterFunc(pullIdleTimeout, cancel)
	defer silence.Stop()
	_, known := n.State.Listed()
	c, err := fetch(ctx, n.Pool(vm), n.State.Snapshot(), known, func() {
		silence.Reset(pullIdleTimeout)
		n.Reader.Progressed(time.Now())
	})
	if err != nil {
		n.Log.Warn().Err(err).Stringer("peer", vm).Msg("failed to pull a snapshot")
		return
	}
	before := n.digest()
	confirmed := time.Now().Add(-c.Age)
	if confirmed.After(n.State.Snapshot().ConfirmedAt) {
		n.Reader.Confirmed(peer.LastHeartbeat.ReadBy)
	}
	n.State.Merge(Reading{
		From: vm.String(), Revision: c.Revision, ConfirmedAt: confirmed, Table: c.Table,
		Fleet: c.fleet(known), RetainUntil: time.Now().Add(c.Held),
	})
	n.Reader.Progressed(time.Now())
	if n.digest() != before {
		n.Spread()
	}
}
