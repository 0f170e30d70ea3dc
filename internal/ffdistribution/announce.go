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
	// suspectTime is how long a daemon passes over a peer that did not answer.
	suspectTime = 10 * time.Second
)

// news tells the announcer that this daemon has something new. Without evidence
// it is the version in force or the list.
type news struct {
	// foreign tells that it enters the data centre here.
	foreign  bool
	evidence []ffmember.Evidence
}

// runAnnounce passes on what is new, down the tree.
func (n *Node) runAnnounce(ctx context.Context) error {
	return consume(ctx, n.news, func(ctx context.Context, first news) {
		n.announce(ctx, n.collect(first))
	})
}

// collect merges the news that wait into one.
func (n *Node) collect(first news) news {
	for {
		select {
		case more := <-n.news:
			first.foreign = first.foreign || more.foreign
			first.evidence = append(first.evidence, more.evidence...)
		default:
			return first
		}
	}
}

// announce tells this daemon's children of the tree, and the roots when the news
// enter the data centre here. For a child that does not answer it tells that
// child's children.
func (n *Node) announce(ctx context.Context, w news) {
	order := ffplacement.Order(n.treeKey(w), reachable(n.Members.View(), n.Self.DataCentre))
	targets := ffplacement.Children(n.Self.Name, order)
	if w.foreign {
		targets = union(ffplacement.Roots(order), targets)
	}
	for _, lost := range n.tell(ctx, targets, w.evidence) {
		n.tell(ctx, ffplacement.Children(lost.Name, order), w.evidence)
	}
}

// treeKey names the tree of some news, so that each version has another tree.
func (n *Node) treeKey(w news) string {
	if len(w.evidence) > 0 {
		return "evidence/" + w.evidence[0].VM.Name
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

// tell exchanges with each target at once and returns those that did not answer.
func (n *Node) tell(ctx context.Context, targets []ffmember.VM, evidence []ffmember.Evidence) []ffmember.VM {
	var (
		wg   sync.WaitGroup
		mu   sync.Mutex
		lost []ffmember.VM
	)
	for _, vm := range targets {
		if vm.Name == n.Self.Name {
			continue
		}
		wg.Go(func() {
			if n.exchange(ctx, vm, evidence) != nil {
				mu.Lock()
				defer mu.Unlock()
				lost = append(lost, vm)
			}
		})
	}
	wg.Wait()
	return lost
}

// exchange tells one peer what this daemon has and learns what the peer has.
func (n *Node) exchange(ctx context.Context, vm ffmember.VM, evidence []ffmember.Evidence) error {
	out, err := n.ask(ctx, vm.PeerAddress, evidence)
	if err != nil {
		if ctx.Err() == nil {
			n.Members.Suspect(vm.Name, time.Now().Add(suspectTime))
		}
		return err
	}
	n.learn(out.GetFrom(), out.GetEvidence())
	return nil
}

func (n *Node) ask(ctx context.Context, address string, evidence []ffmember.Evidence) (*ffprotocol.ExchangeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	n.counts.exchanges.Add(1)
	out, err := n.Peers.Exchange(ctx, address, &ffprotocol.ExchangeRequest{From: n.summary(), Evidence: evidenceOut(evidence)})
	if err != nil {
		return nil, &Error{Op: "exchange", Kind: KindUnreachable, Err: err}
	}
	if !out.GetFrom().Intact() {
		return nil, &Error{Op: "exchange", Kind: KindCorrupt, Err: errDamaged}
	}
	return out, nil
}
