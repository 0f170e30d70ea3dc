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
	// liveLife is how long a daemon's word that it is live counts.
	liveLife = 2 * time.Minute
	// leaveLife is how long a daemon's word that it leaves counts, longer than the list lags.
	leaveLife = 8 * time.Minute
	// foreignTold is the number of daemons of each other data centre that hear of a leave at once.
	foreignTold = 2
)

// ownState is what this daemon says of its own VM.
type ownState struct {
	mu    sync.Mutex
	state ffmember.State
}

// State returns what this daemon says of its own VM.
func (n *Node) State() ffmember.State {
	n.own.mu.Lock()
	defer n.own.mu.Unlock()
	return n.own.state
}

// Leave tells every daemon that this VM takes no new work.
func (n *Node) Leave(ctx context.Context) { n.declare(ctx, ffmember.StateLeaving) }

// Gone tells every daemon that this VM has finished.
func (n *Node) Gone(ctx context.Context) { n.declare(ctx, ffmember.StateGone) }

func (n *Node) declare(ctx context.Context, state ffmember.State) {
	n.once.Do(n.init)
	n.own.mu.Lock()
	n.own.state = max(n.own.state, state)
	n.own.mu.Unlock()
	evidence := n.ownEvidence(time.Now())
	n.Members.Learn(time.Now(), evidence)
	n.rumours.add([]ffmember.Evidence{evidence})
	n.tellAll(ctx, evidence)
}

// tellAll spreads this daemon's word down the tree and to the other data centres at once.
func (n *Node) tellAll(ctx context.Context, own ffmember.Evidence) {
	told := []ffmember.Evidence{own}
	n.announce(ctx, news{foreign: true, evidence: told})
	n.tell(ctx, n.foreignSample(foreignTold), told)
}

// comeBack tells every daemon that this VM is live again, when it left before.
func (n *Node) comeBack(ctx context.Context) {
	left, ok := n.Members.View().EvidenceOf(n.Self.Name)
	n.renew(time.Now())
	if ok && left.State != ffmember.StateLive && n.State() == ffmember.StateLive {
		n.tellAll(ctx, n.ownEvidence(time.Now()))
	}
}

// ownEvidence returns what this daemon says of its own VM at now.
func (n *Node) ownEvidence(now time.Time) ffmember.Evidence {
	life := liveLife
	state := n.State()
	if state != ffmember.StateLive {
		life = leaveLife
	}
	return ffmember.Evidence{
		VM:          n.Self,
		Incarnation: n.Incarnation,
		State:       state,
		Expires:     now.Add(life).Truncate(time.Millisecond),
	}
}

// renew keeps this daemon's word alive while the view needs it: not while the
// list alone shows the VM as it is, so that a fleet at rest has no evidence.
func (n *Node) renew(now time.Time) {
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
	n.Members.Learn(now, own)
	n.rumours.add([]ffmember.Evidence{own})
}

// learnEvidence merges evidence and passes on what was new. A VM that leaves or
// comes back is news for the tree; a live one that stays so travels on exchanges.
func (n *Node) learnEvidence(all []ffmember.Evidence, foreign bool) {
	before := n.Members.View()
	fresh := n.Members.Learn(time.Now(), all...)
	if len(fresh) == 0 {
		return
	}
	n.rumours.add(fresh)
	var moved []ffmember.Evidence
	for _, e := range fresh {
		known, _ := before.EvidenceOf(e.VM.Name)
		if e.State != ffmember.StateLive || known.State != ffmember.StateLive {
			moved = append(moved, e)
		}
	}
	if len(moved) > 0 {
		offer(n.news, news{foreign: foreign, evidence: moved})
	}
}

// reply returns the evidence for the answer to an exchange when the two sides
// differ: what travels, the latest, and a sample of the rest.
func (n *Node) reply(from *ffprotocol.Summary) []*ffprotocol.Evidence {
	view := n.Members.View()
	if from.GetEvidenceDigest() == view.EvidenceDigest() {
		return nil
	}
	out := n.rumours.take()
	all := view.Evidence()
	slices.SortStableFunc(all, func(a, b ffmember.Evidence) int { return b.Expires.Compare(a.Expires) })
	latest := min(len(all), evidencePerMessage/2)
	out = append(out, all[:latest]...)
	return evidenceOut(append(out, n.sample(all[latest:], evidencePerMessage/2)...))
}

// sample returns up to count pieces of evidence that follow each other, from a random one on.
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

// foreignSample returns count random VMs of each other data centre.
func (n *Node) foreignSample(count int) []ffmember.VM {
	var sample []ffmember.VM
	view := n.Members.View()
	for _, d := range view.DataCentres() {
		if d != n.Self.DataCentre {
			sample = append(sample, n.pick(reachable(view, d), count)...)
		}
	}
	return sample
}
