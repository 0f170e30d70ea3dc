package ffdistribution

import (
	"context"
	"slices"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
)

const (
	// exchangeInterval is the mean time between two exchanges with a random peer.
	exchangeInterval = time.Second
	// foreignEvery is the number of exchanges of which one goes to another data centre.
	foreignEvery = 8
)

// runExchange compares notes with a random peer about every second, which
// repairs what the tree missed and crosses a cut when it heals.
func (n *Node) runExchange(ctx context.Context) error {
	for {
		if waitUntil(ctx, time.Now().Add(n.jitter(exchangeInterval))) != nil {
			return nil
		}
		if vm, ok := n.partner(); ok {
			_ = n.exchange(ctx, vm, n.rumours.take())
		}
	}
}

// partner returns the peer to compare notes with: at times one in another data
// centre; for a standby of the readers at times one before it in their order, so
// that it takes over soon when they are lost.
func (n *Node) partner() (ffmember.VM, bool) {
	view := n.Members.View()
	if n.IntN(foreignEvery) == 0 {
		if vm, ok := n.foreignPartner(view); ok {
			return vm, true
		}
	}
	candidates := reachable(view, n.Self.DataCentre)
	if before := n.before(); len(before) > 0 && n.IntN(2) == 0 {
		candidates = before
	}
	if n.IntN(foreignEvery) == 0 {
		candidates = view.InDataCentre(n.Self.DataCentre)
	}
	picked := n.pick(candidates, 1)
	if len(picked) == 0 {
		return n.foreignPartner(view)
	}
	return picked[0], true
}

func (n *Node) foreignPartner(view *ffmember.View) (ffmember.VM, bool) {
	others := slices.DeleteFunc(view.DataCentres(), func(d string) bool { return d == n.Self.DataCentre })
	if len(others) == 0 {
		return ffmember.VM{}, false
	}
	picked := n.pick(view.InDataCentre(others[n.IntN(len(others))]), 1)
	if len(picked) == 0 {
		return ffmember.VM{}, false
	}
	return picked[0], true
}
