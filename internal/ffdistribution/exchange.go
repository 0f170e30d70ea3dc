package ffdistribution

import (
	"context"
	"slices"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
)

const (
	// exchangeInterval is the mean interval between exchanges with a random peer.
	exchangeInterval = time.Second
	// remoteEvery is the number of exchanges of which, on average, one goes to
	// another data centre.
	remoteEvery = 8
)

// runExchange exchanges summaries and evidence with a random peer about once a
// second. This anti-entropy repairs what the tree missed and reconnects the two
// sides after a partition ends.
func (n *Node) runExchange(ctx context.Context) error {
	for turn := 0; ; turn++ {
		if waitUntil(ctx, time.Now().Add(n.jitter(exchangeInterval))) != nil {
			return nil
		}
		if vm, ok := n.pickPeer(turn); ok {
			_ = n.exchange(ctx, vm, n.evidenceQueue.takeBatch())
		}
	}
}

// pickPeer returns the peer for the next exchange, false if there is none. One
// exchange in remoteEvery of those within the data centre may go to a suspect VM. A
// reader or standby sends about half
// of its local exchanges to those before it in the reader order, so that it
// replaces them soon after they fail.
func (n *Node) pickPeer(turn int) (ffmember.VM, bool) {
	view := n.Members.View()
	if n.crosses(turn) {
		if vm, ok := n.pickRemotePeer(view); ok {
			return vm, true
		}
	}
	candidates := reachable(view, n.Self.DataCentre)
	if preceding := n.precedingReaders(); len(preceding) > 0 && n.IntN(2) == 0 {
		candidates = preceding
	}
	if n.IntN(remoteEvery) == 0 {
		candidates = view.InDataCentre(n.Self.DataCentre)
	}
	picked := n.pickRandom(candidates, 1)
	if len(picked) == 0 {
		return n.pickRemotePeer(view)
	}
	return picked[0], true
}

// crosses reports whether an exchange goes to another data centre: one in remoteEvery,
// and every other one of a reader that cannot read the platform, as its data centre may
// hear of a new version from nowhere else.
func (n *Node) crosses(turn int) bool {
	if n.platformLost.Load() && turn%2 == 0 {
		return true
	}
	return n.IntN(remoteEvery) == 0
}

func (n *Node) pickRemotePeer(view *ffmember.View) (ffmember.VM, bool) {
	dataCentres := slices.DeleteFunc(view.DataCentres(), func(d string) bool { return d == n.Self.DataCentre })
	if len(dataCentres) == 0 {
		return ffmember.VM{}, false
	}
	picked := n.pickRandom(view.InDataCentre(dataCentres[n.IntN(len(dataCentres))]), 1)
	if len(picked) == 0 {
		return ffmember.VM{}, false
	}
	return picked[0], true
}
