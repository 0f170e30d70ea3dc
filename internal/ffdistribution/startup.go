package ffdistribution

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffplatform"
	"fireflyfall.dev/fireflyfall/internal/ffprotocol"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

const (
	// askTimeout bounds the wait for answers in one round of the start-up.
	askTimeout = 3 * time.Second
	// askedHere is the number of peers of the own data centre that are asked.
	askedHere = 16
	// askedThere is the number of peers of each other data centre that are asked.
	askedThere = 3
	// patience is how long a daemon with a small part of the platform's rate waits
	// at the start for peers that have a version whole, before it reads every piece itself.
	patience = 10 * time.Second
	// takeTimeout bounds one attempt to fetch the greatest version; pieces that
	// have come stay for the next.
	takeTimeout = 4 * time.Second
	// askedSeeds bounds the seeds that are asked.
	askedSeeds = 8
)

// runStartup learns the greatest version that platform and peers know, at the
// start and after each pause, before the daemon is ready.
func (n *Node) runStartup(ctx context.Context) error {
	for {
		n.learnUntilKnown(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-n.relearn:
		}
	}
}

// learnUntilKnown asks until somebody who knows has answered. A daemon that was
// paused has a version in force: cut off from everybody it goes on with that one
// after a time, as one that was not paused does.
func (n *Node) learnUntilKnown(ctx context.Context) {
	wait := newBackoff()
	until := time.Now().Add(patience)
	held := n.Store.Snapshot() != nil
	lastChance := time.Now().Add(askTimeout)
	for ctx.Err() == nil {
		known := n.learnRound(ctx, until)
		if known || (held && !time.Now().Before(lastChance)) {
			n.learnt.Store(true)
			offer(n.news, news{})
			n.comeBack(ctx)
			return
		}
		_ = waitUntil(ctx, time.Now().Add(wait.NextBackOff()))
	}
}

// answers are what one round of the start-up has heard.
type answers struct {
	mu sync.Mutex
	// manifest is the platform's; platform tells that it answered.
	manifest []byte
	platform bool
	// peers are the ready peers that answered.
	peers []*ffprotocol.Summary
	// patient tells to wait for a peer that has the published version whole.
	patient bool
}

func (a *answers) hear(s *ffprotocol.Summary) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s.GetReady() {
		a.peers = append(a.peers, s)
	}
}

// learnRound asks the platform and peers, and puts the greatest version in force.
// It reports whether anybody who knows has answered and that version is in force.
// Until the time given it leaves the pieces to daemons with a greater part of the rate.
func (n *Node) learnRound(ctx context.Context, patientUntil time.Time) bool {
	a := n.askAll(ctx)
	a.patient = !n.Budget.MayWatch() && time.Now().Before(patientUntil)
	if !a.platform && len(a.peers) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	if err := n.takeGreatest(ctx, a); err != nil {
		n.Log.Info().Err(err).Msg("greatest version not learnt yet")
		return false
	}
	return true
}

// askAll waits until everybody asked has answered or the deadline has passed.
func (n *Node) askAll(ctx context.Context) *answers {
	a := &answers{}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error { return n.askPlatform(ctx, a) })
	group.Go(func() error { return n.askPeers(ctx, a) })
	_ = group.Wait()
	return a
}

func (n *Node) askPlatform(ctx context.Context, a *answers) error {
	n.counts.platformCalls.Add(1)
	value, err := n.Platform.Read(ctx, ffplatform.ManifestKey)
	if err != nil && ffplatform.KindOf(err) != ffplatform.KindNotFound {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.platform = true
	a.manifest = value.Content
	return nil
}

// askPeers asks the seeds for a list when none is known, and then the peers of the list.
func (n *Node) askPeers(ctx context.Context, a *answers) error {
	if n.Members.View().List().Len() == 0 {
		n.askSeeds(ctx, a)
	}
	if n.Members.View().List().Len() == 0 {
		n.readList(ctx)
	}
	sample := n.pick(reachable(n.Members.View(), n.Self.DataCentre), askedHere)
	sample = append(sample, n.foreignSample(askedThere)...)
	addresses := make([]string, len(sample))
	for i, vm := range sample {
		addresses[i] = vm.PeerAddress
	}
	n.askAddresses(ctx, addresses, a)
	return nil
}

func (n *Node) askSeeds(ctx context.Context, a *answers) {
	seeds := n.Seeds[:min(len(n.Seeds), askedSeeds)]
	for _, s := range n.askAddresses(ctx, seeds, a) {
		if n.Members.View().List().OlderThan(s.GetListRevision(), s.GetListDigest()) {
			_ = n.pullList(ctx, hint{address: s.GetPeerAddress()})
		}
	}
}

func (n *Node) readList(ctx context.Context) {
	n.counts.platformCalls.Add(1)
	list, err := n.Platform.VMs(ctx)
	if err != nil {
		return
	}
	n.Members.ApplyList(ffmember.NewList(list.Revision, list.VMs))
}

// askAddresses exchanges with each address at once and returns what they have.
func (n *Node) askAddresses(ctx context.Context, addresses []string, a *answers) []*ffprotocol.Summary {
	var (
		wg    sync.WaitGroup
		mu    sync.Mutex
		heard []*ffprotocol.Summary
	)
	for _, address := range addresses {
		wg.Go(func() {
			out, err := n.ask(ctx, address, n.rumours.take())
			if err != nil {
				return
			}
			n.learn(out.GetFrom(), out.GetEvidence())
			a.hear(out.GetFrom())
			mu.Lock()
			defer mu.Unlock()
			heard = append(heard, out.GetFrom())
		})
	}
	wg.Wait()
	return heard
}

// takeGreatest puts the greatest version that was heard of in force, from the
// peers that have it first.
func (n *Node) takeGreatest(ctx context.Context, a *answers) error {
	slices.SortStableFunc(a.peers, func(x, y *ffprotocol.Summary) int {
		return versionIn(y.GetVersion()).Compare(versionIn(x.GetVersion()))
	})
	var greatest ffconfig.Version
	if len(a.peers) > 0 {
		greatest = versionIn(a.peers[0].GetVersion())
	}
	published, err := decodeManifest(a.manifest)
	if err == nil && published.version.NewerThan(greatest) {
		return n.takePublished(ctx, a, published)
	}
	return n.takeFromPeers(ctx, a, greatest)
}

// takePublished takes the platform's version; when that cannot be had whole, the
// greatest that a peer has in force counts.
func (n *Node) takePublished(ctx context.Context, a *answers, published encoded) error {
	if a.patient && len(a.peers) == 0 {
		return errPatient
	}
	err := n.complete(ctx, published, origin{foreign: true})
	if err == nil || len(a.peers) == 0 {
		return err
	}
	n.Log.Info().Err(err).Msg("published version not taken")
	return n.takeFromPeers(ctx, a, versionIn(a.peers[0].GetVersion()))
}

func (n *Node) takeFromPeers(ctx context.Context, a *answers, greatest ffconfig.Version) error {
	var err error
	for _, s := range a.peers {
		if !n.Store.Wants(greatest) {
			return nil
		}
		if versionIn(s.GetVersion()) != greatest {
			break
		}
		err = n.pull(ctx, hint{address: s.GetPeerAddress(), foreign: s.GetDataCentre() != n.Self.DataCentre})
		if err != nil && ctx.Err() != nil {
			return err
		}
	}
	if n.Store.Wants(greatest) {
		return err
	}
	return nil
}
