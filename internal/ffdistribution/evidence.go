package ffdistribution

import (
	"context"
	"slices"
	"sync"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffprotocol"
)

const (
	// liveLifetime is how long evidence that a VM is live remains valid.
	liveLifetime = 2 * time.Minute
	// leaveLifetime is how long evidence that a VM is leaving or gone remains
	// valid. It is longer than the lag of the platform's VM list.
	leaveLifetime = 8 * time.Minute
	// remoteFanOut is the number of daemons in each other data centre to which a
	// daemon sends a change of its own state directly.
	remoteFanOut = 2
)

// ownState is the state that this daemon announces for its own VM.
type ownState struct {
	mu    sync.Mutex
	state ffmember.State
}

// State returns the state that this daemon announces for its own VM.
func (n *Node) State() ffmember.State {
	n.own.mu.Lock()
	defer n.own.mu.Unlock()
	return n.own.state
}

// AnnounceLeaving announces to all daemons that this VM accepts no new work.
func (n *Node) AnnounceLeaving(ctx context.Context) { n.announceState(ctx, ffmember.StateLeaving) }

// AnnounceGone announces to all daemons that this VM has finished its work and is gone.
func (n *Node) AnnounceGone(ctx context.Context) { n.announceState(ctx, ffmember.StateGone) }

func (n *Node) announceState(ctx context.Context, state ffmember.State) {
	n.once.Do(n.init)
	n.own.mu.Lock()
	n.own.state = max(n.own.state, state)
	n.own.mu.Unlock()
	evidence := n.ownEvidence(time.Now())
	n.Members.MergeEvidence(time.Now(), evidence)
	n.evidenceQueue.add([]ffmember.Evidence{evidence})
	n.broadcast(ctx, evidence)
}

// broadcast sends this daemon's own evidence to the roots and its children in the
// tree, and then directly to a few daemons of each other data centre.
func (n *Node) broadcast(ctx context.Context, own ffmember.Evidence) {
	evidence := []ffmember.Evidence{own}
	n.announce(ctx, update{toRoots: true, evidence: evidence})
	n.exchangeAll(ctx, n.remoteSample(remoteFanOut), evidence)
}

// announceReturn announces that this VM is live again if it had left before.
func (n *Node) announceReturn(ctx context.Context) {
	known, ok := n.Members.View().EvidenceOf(n.Self.Name)
	n.renewEvidence(time.Now())
	if ok && known.State != ffmember.StateLive && n.State() == ffmember.StateLive {
		n.broadcast(ctx, n.ownEvidence(time.Now()))
	}
}

// ownEvidence returns the evidence for this daemon's own VM, issued at now.
func (n *Node) ownEvidence(now time.Time) ffmember.Evidence {
	lifetime := liveLifetime
	state := n.State()
	if state != ffmember.StateLive {
		lifetime = leaveLifetime
	}
	return ffmember.Evidence{
		VM:          n.Self,
		Incarnation: n.Incarnation,
		State:       state,
		Expires:     now.Add(lifetime).Truncate(time.Millisecond),
	}
}

// renewEvidence reissues this daemon's own evidence before it expires. It does
// nothing while the VM list alone shows the VM correctly, so that a stable fleet
// holds no evidence.
func (n *Node) renewEvidence(now time.Time) {
	view := n.Members.View()
	own := n.ownEvidence(now)
	known, ok := view.EvidenceOf(n.Self.Name)
	current := known.Incarnation == own.Incarnation && known.State == own.State
	if ok && current && known.Expires.Sub(now) > own.Expires.Sub(now)/2 {
		return
	}
	if listed, _ := view.List().VM(n.Self.Name); listed == n.Self && own.State == ffmember.StateLive && (!ok || current) {
		return
	}
	n.Members.MergeEvidence(now, own)
	n.evidenceQueue.add([]ffmember.Evidence{own})
}

// mergeEvidence merges evidence and forwards what was new. A VM that leaves or
// returns is announced down the tree; renewed evidence of a live VM is sent only
// with exchanges.
func (n *Node) mergeEvidence(all []ffmember.Evidence, external bool) {
	before := n.Members.View()
	fresh := n.Members.MergeEvidence(time.Now(), all...)
	if len(fresh) == 0 {
		return
	}
	n.evidenceQueue.add(fresh)
	var changed []ffmember.Evidence
	for _, e := range fresh {
		known, _ := before.EvidenceOf(e.VM.Name)
		if e.State != ffmember.StateLive || known.State != ffmember.StateLive {
			changed = append(changed, e)
		}
	}
	if len(changed) > 0 {
		trySend(n.updates, update{toRoots: external, evidence: changed})
	}
}

// replyEvidence returns the evidence for the response to an exchange, or nil if
// both sides hold the same: a batch from the queue, the evidence that expires
// last, and a sample of the rest.
func (n *Node) replyEvidence(from *ffprotocol.Summary) []*ffprotocol.Evidence {
	view := n.Members.View()
	if from.GetEvidenceDigest() == view.EvidenceDigest() {
		return nil
	}
	out := n.evidenceQueue.takeBatch()
	all := view.Evidence()
	slices.SortStableFunc(all, func(a, b ffmember.Evidence) int { return b.Expires.Compare(a.Expires) })
	latest := min(len(all), evidencePerMessage/2)
	out = append(out, all[:latest]...)
	return evidenceToProto(append(out, n.sample(all[latest:], evidencePerMessage/2)...))
}

// sample returns up to count consecutive items, starting at a random one and
// wrapping around at the end.
func (n *Node) sample(all []ffmember.Evidence, count int) []ffmember.Evidence {
	sample := make([]ffmember.Evidence, 0, count)
	if len(all) == 0 {
		return sample
	}
	start := n.IntN(len(all))
	for i := range min(len(all), count) {
		sample = append(sample, all[(start+i)%len(all)])
	}
	return sample
}

// remoteSample returns up to count random VMs of each other data centre.
func (n *Node) remoteSample(count int) []ffmember.VM {
	var sample []ffmember.VM
	view := n.Members.View()
	for _, d := range view.DataCentres() {
		if d != n.Self.DataCentre {
			sample = append(sample, n.pickRandom(reachable(view, d), count)...)
		}
	}
	return sample
}
