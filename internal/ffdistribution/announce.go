package ffdistribution

import (
	"context"
	"sync"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffplacement"
	"fireflyfall.dev/fireflyfall/internal/ffprotocol"
)

const (
	// announceTimeout bounds one announcement.
	announceTimeout = time.Second
	// suspectTimeout is how long a daemon skips a peer that did not answer.
	suspectTimeout = 10 * time.Second
)

// update is a change that the announce loop sends to other daemons. Without
// evidence it stands for a new active version or a new VM list.
type update struct {
	// toRoots is true if the change entered the data centre through this daemon,
	// so that it must also be sent to the roots of the tree.
	toRoots  bool
	evidence []ffmember.Evidence
}

// runAnnounce sends updates down the announcement tree.
func (n *Node) runAnnounce(ctx context.Context) error {
	return consume(ctx, n.updates, func(ctx context.Context, first update) {
		n.announce(ctx, n.mergePending(first))
	})
}

// mergePending merges the queued updates into one.
func (n *Node) mergePending(first update) update {
	for {
		select {
		case more := <-n.updates:
			first.toRoots = first.toRoots || more.toRoots
			first.evidence = append(first.evidence, more.evidence...)
		default:
			return first
		}
	}
}

// announce exchanges with this daemon's children in the tree, and with the roots
// if the update entered the data centre here. If a recipient does not answer, it
// exchanges with the recipient's children instead.
func (n *Node) announce(ctx context.Context, u update) {
	order := ffplacement.Order(n.treeKey(u), reachable(n.Members.View(), n.Self.DataCentre))
	recipients := ffplacement.Children(n.Self.Name, order)
	if u.toRoots {
		recipients = union(ffplacement.Roots(order), recipients)
	}
	for _, failed := range n.exchangeAll(ctx, recipients, u.evidence) {
		n.exchangeAll(ctx, ffplacement.Children(failed.Name, order), u.evidence)
	}
}

// treeKey returns the hash key of the tree for an update. It contains the version
// or the VM of the evidence, so that each version uses a different tree.
func (n *Node) treeKey(u update) string {
	if len(u.evidence) > 0 {
		return "evidence/" + u.evidence[0].VM.Name
	}
	return "version/" + n.Store.Version().String()
}

func union(a, b []ffmember.VM) []ffmember.VM {
	all := append([]ffmember.VM{}, a...)
	seen := make(map[string]bool, len(a))
	for _, vm := range a {
		seen[vm.Name] = true
	}
	for _, vm := range b {
		if !seen[vm.Name] {
			all = append(all, vm)
		}
	}
	return all
}

// exchangeAll exchanges with all recipients in parallel and returns those that
// did not answer.
func (n *Node) exchangeAll(ctx context.Context, recipients []ffmember.VM, evidence []ffmember.Evidence) []ffmember.VM {
	var (
		wg     sync.WaitGroup
		mu     sync.Mutex
		failed []ffmember.VM
	)
	for _, vm := range recipients {
		if vm.Name == n.Self.Name {
			continue
		}
		wg.Go(func() {
			if n.exchange(ctx, vm, evidence) != nil {
				mu.Lock()
				defer mu.Unlock()
				failed = append(failed, vm)
			}
		})
	}
	wg.Wait()
	return failed
}

// exchange sends this daemon's summary and the evidence to a peer and merges the
// peer's response. A peer that does not answer is marked as suspect.
func (n *Node) exchange(ctx context.Context, vm ffmember.VM, evidence []ffmember.Evidence) error {
	out, err := n.sendExchange(ctx, vm.PeerAddress, evidence)
	if err != nil {
		if ctx.Err() == nil {
			n.Members.MarkSuspect(vm.Name, time.Now().Add(suspectTimeout))
		}
		return err
	}
	n.handleSummary(out.GetFrom(), out.GetEvidence())
	return nil
}

// sendExchange sends one exchange request and verifies the response's checksum.
func (n *Node) sendExchange(ctx context.Context, address string, evidence []ffmember.Evidence) (*ffprotocol.ExchangeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	n.counts.exchanges.Add(1)
	out, err := n.Peers.Exchange(ctx, address, &ffprotocol.ExchangeRequest{From: n.summary(), Evidence: evidenceToProto(evidence)})
	if err != nil {
		return nil, &Error{Op: "exchange", Kind: KindUnreachable, Err: err}
	}
	if !out.GetFrom().HasValidChecksum() {
		return nil, &Error{Op: "exchange", Kind: KindCorrupt, Err: errChecksum}
	}
	return out, nil
}
