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
	// queryTimeout is the timeout for all responses in one synchronisation round.
	// A daemon that was paused also resumes with its version after this time.
	queryTimeout = 3 * time.Second
	// localPeers is the number of peers queried in this daemon's data centre.
	localPeers = 16
	// remotePeers is the number of peers queried in each other data centre.
	remotePeers = 3
	// peerWait is how long a daemon that is not favoured, and so has a small
	// budget, waits for a peer with the complete version before it fetches the
	// version from the platform.
	peerWait = 10 * time.Second
	// applyTimeout is the timeout of one attempt to fetch the newest version;
	// fetched pieces are kept for the next attempt.
	applyTimeout = 4 * time.Second
	// maxSeeds is the maximum number of seeds queried.
	maxSeeds = 8
)

// runStartup synchronises with the newest version known to the platform and the
// peers, at the start and after each pause, before the daemon is ready.
func (n *Node) runStartup(ctx context.Context) error {
	for {
		n.syncUntilDone(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-n.resync:
		}
	}
}

// syncUntilDone repeats synchronisation rounds until one succeeds. A daemon that was
// paused already has an active version: if it can reach nobody, it resumes with that
// version after queryTimeout, as an isolated daemon that was not paused keeps its own.
func (n *Node) syncUntilDone(ctx context.Context) {
	wait := newBackoff()
	peerWaitEnd := time.Now().Add(peerWait)
	hadVersion := n.Store.Snapshot() != nil
	resumeAt := time.Now().Add(queryTimeout)
	for ctx.Err() == nil {
		done := n.syncRound(ctx, peerWaitEnd)
		if done || (hadVersion && !time.Now().Before(resumeAt)) {
			n.synced.Store(true)
			trySend(n.updates, update{})
			n.announceReturn(ctx)
			return
		}
		_ = waitUntil(ctx, time.Now().Add(wait.NextBackOff()))
	}
}

// responses collects the responses of one synchronisation round.
type responses struct {
	mu sync.Mutex
	// manifest is the platform's manifest; nil if none is published.
	manifest []byte
	// platform is true if the platform answered.
	platform bool
	// peers are the ready peers that answered.
	peers []*ffprotocol.Summary
	// waitForPeers is true if the daemon should wait for a peer that has the
	// complete published version instead of fetching it from the platform.
	waitForPeers bool
}

func (r *responses) add(s *ffprotocol.Summary) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.GetReady() {
		r.peers = append(r.peers, s)
	}
}

// syncRound queries the platform and peers and applies the newest version. It
// reports whether the platform or a ready peer answered and no newer version is
// left to apply. Until peerWaitEnd a daemon that is not favoured leaves it to the
// favoured ones to fetch the pieces from the platform.
func (n *Node) syncRound(ctx context.Context, peerWaitEnd time.Time) bool {
	r := n.queryAll(ctx)
	r.waitForPeers = !n.Budget.MayWatch() && time.Now().Before(peerWaitEnd)
	if !r.platform && len(r.peers) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	if err := n.applyNewest(ctx, r); err != nil {
		n.Log.Info().Err(err).Msg("newest version not available yet")
		return false
	}
	return true
}

// queryAll queries the platform and peers in parallel, for at most queryTimeout.
func (n *Node) queryAll(ctx context.Context) *responses {
	r := &responses{}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error { return n.queryPlatform(ctx, r) })
	group.Go(func() error { return n.queryPeers(ctx, r) })
	_ = group.Wait()
	return r
}

func (n *Node) queryPlatform(ctx context.Context, r *responses) error {
	n.counts.platformCalls.Add(1)
	value, err := n.Platform.Read(ctx, ffplatform.ManifestKey)
	if err != nil && ffplatform.KindOf(err) != ffplatform.KindNotFound {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.platform = true
	r.manifest = value.Content
	return nil
}

// queryPeers queries a sample of the VM list. If no list is known, it first requests
// one from the seeds, and from the platform if they have none.
func (n *Node) queryPeers(ctx context.Context, r *responses) error {
	if n.Members.View().List().Len() == 0 {
		n.querySeeds(ctx, r)
	}
	if n.Members.View().List().Len() == 0 {
		n.readList(ctx)
	}
	sample := n.pickRandom(reachable(n.Members.View(), n.Self.DataCentre), localPeers)
	sample = append(sample, n.remoteSample(remotePeers)...)
	addresses := make([]string, len(sample))
	for i, vm := range sample {
		addresses[i] = vm.PeerAddress
	}
	n.queryAddresses(ctx, addresses, r)
	return nil
}

func (n *Node) querySeeds(ctx context.Context, r *responses) {
	seeds := n.Seeds[:min(len(n.Seeds), maxSeeds)]
	for _, s := range n.queryAddresses(ctx, seeds, r) {
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

// queryAddresses exchanges with all addresses in parallel and returns the summaries
// of those that answered.
func (n *Node) queryAddresses(ctx context.Context, addresses []string, r *responses) []*ffprotocol.Summary {
	var (
		wg        sync.WaitGroup
		mu        sync.Mutex
		summaries []*ffprotocol.Summary
	)
	for _, address := range addresses {
		wg.Go(func() {
			out, err := n.sendExchange(ctx, address, n.evidenceQueue.takeBatch())
			if err != nil {
				return
			}
			n.handleSummary(out.GetFrom(), out.GetEvidence())
			r.add(out.GetFrom())
			mu.Lock()
			defer mu.Unlock()
			summaries = append(summaries, out.GetFrom())
		})
	}
	wg.Wait()
	return summaries
}

// applyNewest applies the newest reported version. It prefers the peers: the
// published version is used only if it is newer than that of every ready peer.
func (n *Node) applyNewest(ctx context.Context, r *responses) error {
	slices.SortStableFunc(r.peers, func(x, y *ffprotocol.Summary) int {
		return versionFromProto(y.GetVersion()).Compare(versionFromProto(x.GetVersion()))
	})
	var newest ffconfig.Version
	if len(r.peers) > 0 {
		newest = versionFromProto(r.peers[0].GetVersion())
	}
	published, err := decodeManifest(r.manifest)
	if err == nil && published.version.NewerThan(newest) {
		return n.applyPublished(ctx, r, published)
	}
	return n.applyFromPeers(ctx, r, newest)
}

// applyPublished applies the published version. If that fails, it applies the newest
// version that a peer has active.
func (n *Node) applyPublished(ctx context.Context, r *responses, published encodedManifest) error {
	if r.waitForPeers && len(r.peers) == 0 {
		return errWaitForPeer
	}
	err := n.fetchAndApply(ctx, published, versionSource{external: true})
	if err == nil || len(r.peers) == 0 {
		return err
	}
	n.Log.Info().Err(err).Msg("published version not taken")
	return n.applyFromPeers(ctx, r, versionFromProto(r.peers[0].GetVersion()))
}

// applyFromPeers pulls the version newest from the peers that have it active, until
// one pull succeeds.
func (n *Node) applyFromPeers(ctx context.Context, r *responses, newest ffconfig.Version) error {
	var err error
	for _, s := range r.peers {
		if !n.Store.ShouldApply(newest) {
			return nil
		}
		if versionFromProto(s.GetVersion()) != newest {
			break
		}
		err = n.pull(ctx, hint{address: s.GetPeerAddress(), external: s.GetDataCentre() != n.Self.DataCentre})
		if err != nil && ctx.Err() != nil {
			return err
		}
	}
	if n.Store.ShouldApply(newest) {
		return err
	}
	return nil
}
