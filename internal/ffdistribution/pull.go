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
	// pullAttempts bounds the attempts after one hint; a later exchange hints again.
	pullAttempts = 4
	// manifestTimeout bounds the wait for a manifest from one peer.
	manifestTimeout = time.Second
	// firstBackoff and longestBackoff bound the wait between attempts, with full jitter.
	firstBackoff   = 50 * time.Millisecond
	longestBackoff = 2 * time.Second
)

// hint tells that a peer has something newer.
type hint struct {
	version ffconfig.Version
	address string
	// foreign tells that the peer is in another data centre.
	foreign bool
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

// runPull follows hints of newer versions, one at a time.
func (n *Node) runPull(ctx context.Context) error {
	return consume(ctx, n.hints, n.follow)
}

// follow pulls until the hinted version is in force or the attempts are used up.
func (n *Node) follow(ctx context.Context, h hint) {
	wait := newBackoff()
	for range pullAttempts {
		if !n.learnt.Load() || !n.Store.Wants(h.version) {
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
		h = n.alternative(h)
	}
}

// alternative returns another hint of a version as new, or h when there is none.
func (n *Node) alternative(h hint) hint {
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

// pull brings the version that the peer has in force into force here.
func (n *Node) pull(ctx context.Context, h hint) error {
	n.counts.pulls.Add(1)
	e, err := n.manifestFrom(ctx, h.address)
	if err != nil {
		return err
	}
	return n.complete(ctx, e, origin{peer: h.address, foreign: h.foreign})
}

// manifestFrom returns the manifest that the peer has in force.
func (n *Node) manifestFrom(ctx context.Context, address string) (encoded, error) {
	out, err := n.askManifest(ctx, address, false)
	if err != nil {
		return encoded{}, err
	}
	if out.GetBase() == nil {
		return decodeManifest(out.GetWhole())
	}
	if e, ok := n.rebuild(out); ok {
		return e, nil
	}
	out, err = n.askManifest(ctx, address, true)
	if err != nil {
		return encoded{}, err
	}
	return decodeManifest(out.GetWhole())
}

func decodeManifest(content []byte) (encoded, error) {
	m, v, err := ffconfig.DecodeManifest(content)
	if err != nil {
		return encoded{}, &Error{Op: "decode manifest", Kind: KindCorrupt, Err: err}
	}
	return encoded{manifest: m, version: v, content: content}, nil
}

func (n *Node) askManifest(ctx context.Context, address string, whole bool) (*ffprotocol.ManifestResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, manifestTimeout)
	defer cancel()
	in := &ffprotocol.ManifestRequest{From: n.summary(), Whole: whole}
	in.From.Version = versionOut(n.Store.Version())
	in.From.Seal()
	out, err := n.Peers.Manifest(ctx, address, in)
	if err != nil {
		return nil, &Error{Op: "pull manifest", Kind: KindUnreachable, Err: err}
	}
	if !out.GetFrom().Intact() {
		return nil, &Error{Op: "pull manifest", Kind: KindCorrupt, Err: errDamaged}
	}
	return out, nil
}

// rebuild returns the manifest that a difference makes of the one in force, and
// false when the result is not the version that the peer has.
func (n *Node) rebuild(out *ffprotocol.ManifestResponse) (encoded, bool) {
	snapshot := n.Store.Snapshot()
	if snapshot == nil || snapshot.Version() != versionIn(out.GetBase()) {
		return encoded{}, false
	}
	want := versionIn(out.GetFrom().GetVersion())
	change := step{put: refsIn(out.GetPut()), removed: refsIn(out.GetRemoved())}
	m := change.changed(snapshot.Manifest(), want.Number)
	content, err := m.Encode()
	if err != nil || ffconfig.DigestOf(content) != want.Digest {
		return encoded{}, false
	}
	return encoded{manifest: m, version: want, content: content}, true
}

// origin tells where a manifest came from.
type origin struct {
	// peer is the address of the daemon that has the version in force; empty for the platform.
	peer string
	// foreign tells that the version enters this data centre here.
	foreign bool
}

// complete fetches what this daemon lacks of a version and puts it in force.
func (n *Node) complete(ctx context.Context, e encoded, from origin) error {
	n.Store.Observe(e.version)
	if !n.Store.Wants(e.version) {
		return nil
	}
	if size := totalSize(e.manifest); size > MaxVersionBytes {
		return n.Store.apply(e, nil)
	}
	f := n.newFetch(e.manifest)
	if err := f.run(ctx, from); err != nil {
		return err
	}
	err := n.Store.apply(e, f.have)
	if KindOf(err) == KindOlder {
		return nil
	}
	if err != nil {
		return err
	}
	n.staged.clear()
	offer(n.news, news{foreign: from.foreign})
	return nil
}

// check returns an error unless content is the piece of the reference.
func check(p ffconfig.PieceRef, content []byte) error {
	if err := p.Check(content); err != nil {
		return &Error{Op: "fetch", Kind: KindCorrupt, Err: merry.Prepend(err, "piece "+p.Name)}
	}
	return nil
}
