package ffdistribution

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cenkalti/backoff/v5"

	"fireflyfall.dev/fireflyfall/internal/ffprotocol"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

const (
	// pullAttempts is the maximum number of attempts per hint; a later exchange
	// produces a new hint.
	pullAttempts = 4
	// manifestTimeout is the timeout of a manifest request to one peer.
	manifestTimeout = time.Second
	// firstBackoff bounds the delay before the first retry and longestBackoff the
	// delay before any later one, both with full jitter.
	firstBackoff   = 50 * time.Millisecond
	longestBackoff = 2 * time.Second
)

// hint names a peer that has a newer version or a newer VM list.
type hint struct {
	version ffconfig.Version
	address string
	// external is true if the peer is in another data centre.
	external bool
}

// newBackoff returns an exponential backoff with full jitter.
func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstBackoff / 2
	b.MaxInterval = longestBackoff / 2
	b.RandomizationFactor = 1
	b.Multiplier = 2
	return b
}

// runPull pulls the versions that hints refer to, one at a time.
func (n *Node) runPull(ctx context.Context) error {
	return consume(ctx, n.hints, n.followHint)
}

// followHint pulls until one pull succeeds, the hinted version is no longer wanted,
// or pullAttempts is reached.
func (n *Node) followHint(ctx context.Context, h hint) {
	wait := newBackoff()
	for range pullAttempts {
		if !n.synced.Load() || !n.Store.ShouldApply(h.version) {
			return
		}
		err := n.pull(ctx, h)
		if err == nil || ctx.Err() != nil {
			return
		}
		n.counts.pullsFailed.Add(1)
		n.Log.Debug().Err(err).Str("peer", h.address).Msg("pull failed")
		if waitUntil(ctx, time.Now().Add(wait.NextBackOff())) != nil {
			return
		}
		h = n.alternativeHint(h)
	}
}

// alternativeHint returns a queued hint for a version at least as new, or h if
// there is none. Hints for older versions are dropped.
func (n *Node) alternativeHint(h hint) hint {
	for {
		select {
		case other := <-n.hints:
			if !h.version.NewerThan(other.version) {
				return other
			}
		default:
			return h
		}
	}
}

// pull fetches and applies the peer's active version.
func (n *Node) pull(ctx context.Context, h hint) error {
	n.counts.pulls.Add(1)
	e, err := n.manifestFrom(ctx, h.address)
	if err != nil {
		return err
	}
	return n.fetchAndApply(ctx, e, versionSource{peer: h.address, external: h.external})
}

// manifestFrom returns the manifest of the peer's active version. It requests a
// delta first, and the whole manifest if the delta cannot be applied.
func (n *Node) manifestFrom(ctx context.Context, address string) (encodedManifest, error) {
	out, err := n.requestManifest(ctx, address, false)
	if err != nil {
		return encodedManifest{}, err
	}
	if out.GetBase() == nil {
		return decodeManifest(out.GetWhole())
	}
	if e, ok := n.applyManifestDelta(out); ok {
		return e, nil
	}
	out, err = n.requestManifest(ctx, address, true)
	if err != nil {
		return encodedManifest{}, err
	}
	return decodeManifest(out.GetWhole())
}

func decodeManifest(content []byte) (encodedManifest, error) {
	m, v, err := ffconfig.DecodeManifest(content)
	if err != nil {
		return encodedManifest{}, &Error{Op: "decode manifest", Kind: KindCorrupt, Err: err}
	}
	return encodedManifest{manifest: m, version: v, content: content}, nil
}

func (n *Node) requestManifest(ctx context.Context, address string, whole bool) (*ffprotocol.ManifestResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, manifestTimeout)
	defer cancel()
	in := &ffprotocol.ManifestRequest{From: n.summary(), Whole: whole}
	in.From.Version = versionToProto(n.Store.Version())
	in.From.SetChecksum()
	out, err := n.Peers.Manifest(ctx, address, in)
	if err != nil {
		return nil, &Error{Op: "pull manifest", Kind: KindUnreachable, Err: err}
	}
	if !out.GetFrom().HasValidChecksum() {
		return nil, &Error{Op: "pull manifest", Kind: KindCorrupt, Err: errChecksum}
	}
	return out, nil
}

// applyManifestDelta applies the delta in out to the active manifest. It returns
// false if the delta has another base or the result is not the peer's version.
func (n *Node) applyManifestDelta(out *ffprotocol.ManifestResponse) (encodedManifest, bool) {
	snapshot := n.Store.Snapshot()
	if snapshot == nil || snapshot.Version() != versionFromProto(out.GetBase()) {
		return encodedManifest{}, false
	}
	want := versionFromProto(out.GetFrom().GetVersion())
	delta := manifestDelta{put: refsFromProto(out.GetPut()), removed: refsFromProto(out.GetRemoved())}
	m := delta.applyTo(snapshot.Manifest(), want.Number)
	content, err := m.Encode()
	if err != nil || ffconfig.DigestOf(content) != want.Digest {
		return encodedManifest{}, false
	}
	return encodedManifest{manifest: m, version: want, content: content}, true
}

// versionSource describes where a manifest came from.
type versionSource struct {
	// peer is the address of the daemon that has the version active; empty for the platform.
	peer string
	// external is true if the source is outside this data centre: the platform or
	// a peer in another data centre.
	external bool
}

// fetchAndApply fetches the missing pieces of a version and applies it. It returns
// nil if the version is not newer than the active one or was refused before.
func (n *Node) fetchAndApply(ctx context.Context, e encodedManifest, from versionSource) error {
	n.Store.AuditConflict(e.version)
	if !n.Store.ShouldApply(e.version) {
		return nil
	}
	if size := totalSize(e.manifest); size > MaxVersionBytes {
		return n.Store.apply(e, nil)
	}
	f := n.newFetch(e.manifest)
	if err := f.run(ctx, from); err != nil {
		return err
	}
	err := n.Store.apply(e, f.pieces)
	if KindOf(err) == KindOlder {
		return nil
	}
	if err != nil {
		return err
	}
	n.staged.clear()
	trySend(n.updates, update{toRoots: from.external})
	return nil
}

// checkPiece returns an error of KindCorrupt unless content matches the reference.
func checkPiece(p ffconfig.PieceRef, content []byte) error {
	if err := p.Check(content); err != nil {
		return &Error{Op: "fetch", Kind: KindCorrupt, Err: merry.Prepend(err, "piece "+p.Name)}
	}
	return nil
}
