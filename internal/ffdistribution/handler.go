package ffdistribution

import (
	"context"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffprotocol"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

const (
	// maxResponseBytes bounds the pieces or VMs of one response, in bytes.
	maxResponseBytes = 1 << 20
	// maxPiecesPerRequest bounds the pieces that one request names.
	maxPiecesPerRequest = 256
)

var errNotReady = &Error{Op: "serve", Kind: KindNotReady, Err: merry.New("has not learnt the greatest version yet")}

// Exchange answers what this daemon has.
func (n *Node) Exchange(_ context.Context, in *ffprotocol.ExchangeRequest) (*ffprotocol.ExchangeResponse, error) {
	n.once.Do(n.init)
	n.learn(in.GetFrom(), in.GetEvidence())
	return &ffprotocol.ExchangeResponse{From: n.summary(), Evidence: n.reply(in.GetFrom())}, nil
}

// Manifest answers the manifest in force, as a difference from the sender's where it can.
func (n *Node) Manifest(_ context.Context, in *ffprotocol.ManifestRequest) (*ffprotocol.ManifestResponse, error) {
	n.once.Do(n.init)
	n.learn(in.GetFrom(), nil)
	if !n.Ready() {
		return nil, errNotReady
	}
	return n.Store.manifestSince(versionIn(in.GetFrom().GetVersion()), in.GetWhole(), n.summary()), nil
}

// Pieces answers those of the pieces that this daemon has, as many as fit. It
// does so before the daemon is ready too: a piece is named by its hash, so that it
// cannot bring an older version back, and a fleet that starts as a whole shares
// the reading of the platform this way.
func (n *Node) Pieces(_ context.Context, in *ffprotocol.PiecesRequest) (*ffprotocol.PiecesResponse, error) {
	n.once.Do(n.init)
	n.learn(in.GetFrom(), nil)
	out := &ffprotocol.PiecesResponse{From: n.summary()}
	size := 0
	for _, d := range in.GetDigests()[:min(len(in.GetDigests()), maxPiecesPerRequest)] {
		content, ok := n.piece(digestIn(d))
		if !ok {
			continue
		}
		if size += len(content); size > maxResponseBytes {
			break
		}
		out.Pieces = append(out.Pieces, &ffprotocol.Piece{Digest: d, Content: content})
	}
	return out, nil
}

// piece returns a piece of the version in force or of the one that is being fetched.
func (n *Node) piece(d ffconfig.Digest) ([]byte, bool) {
	if content, ok := n.Store.Piece(d); ok {
		return content, true
	}
	return n.staged.piece(d)
}

// List answers the buckets of the VM list that differ, as many as fit.
func (n *Node) List(_ context.Context, in *ffprotocol.ListRequest) (*ffprotocol.ListResponse, error) {
	n.once.Do(n.init)
	n.learn(in.GetFrom(), nil)
	list := n.Members.View().List()
	out := &ffprotocol.ListResponse{From: n.summary()}
	out.From.ListRevision, out.From.ListDigest = list.Revision(), list.Digest()
	out.From.Seal()
	size := 0
	for _, b := range list.Differing(in.GetBucketDigests()) {
		for _, vm := range list.InBuckets([]int{b}) {
			m := vmOut(vm)
			size += len(m.GetName()) + len(m.GetDataCentre()) + len(m.GetService()) + len(m.GetPeerAddress()) + len(m.GetForwardAddress()) + len(m.GetOperatorAddress())
			out.Vms = append(out.Vms, m)
		}
		out.Buckets = append(out.Buckets, uint32(b))
		if size > maxResponseBytes {
			break
		}
	}
	return out, nil
}
