package ffdistribution

import (
	"context"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffprotocol"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

const (
	// maxResponseBytes limits the pieces or VMs in one response, in bytes.
	maxResponseBytes = 1 << 20
	// maxPiecesPerRequest is the maximum number of pieces in one request.
	maxPiecesPerRequest = 256
)

var errNotReady = &Error{Op: "serve", Kind: KindNotReady, Err: merry.New("the newest version is not known yet")}

// Exchange merges the sender's summary and evidence and returns this daemon's own.
func (n *Node) Exchange(_ context.Context, in *ffprotocol.ExchangeRequest) (*ffprotocol.ExchangeResponse, error) {
	n.once.Do(n.init)
	n.handleSummary(in.GetFrom(), in.GetEvidence())
	return &ffprotocol.ExchangeResponse{From: n.summary(), Evidence: n.replyEvidence(in.GetFrom())}, nil
}

// Manifest returns the manifest of the active version, as a delta from the
// sender's version where possible. It returns an error of KindNotReady while the
// daemon is not ready.
func (n *Node) Manifest(_ context.Context, in *ffprotocol.ManifestRequest) (*ffprotocol.ManifestResponse, error) {
	n.once.Do(n.init)
	n.handleSummary(in.GetFrom(), nil)
	if !n.Ready() {
		return nil, errNotReady
	}
	return n.Store.manifestSince(versionFromProto(in.GetFrom().GetVersion()), in.GetWhole(), n.summary()), nil
}

// Pieces returns the requested pieces that this daemon has, as many as fit in
// maxResponseBytes. It also serves before the daemon is ready: pieces are addressed
// by hash, so that they cannot restore an older version, and the daemons of a fleet
// that starts all at once can share the reads from the platform.
func (n *Node) Pieces(_ context.Context, in *ffprotocol.PiecesRequest) (*ffprotocol.PiecesResponse, error) {
	n.once.Do(n.init)
	n.handleSummary(in.GetFrom(), nil)
	out := &ffprotocol.PiecesResponse{From: n.summary()}
	size := 0
	for _, d := range in.GetDigests()[:min(len(in.GetDigests()), maxPiecesPerRequest)] {
		content, ok := n.piece(digestFromProto(d))
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

// piece returns a piece of the active version or of the version being fetched.
func (n *Node) piece(d ffconfig.Digest) ([]byte, bool) {
	if content, ok := n.Store.Piece(d); ok {
		return content, true
	}
	return n.staged.piece(d)
}

// List returns the VMs in the buckets of the VM list that differ from the
// sender's. It stops after the bucket that exceeds maxResponseBytes.
func (n *Node) List(_ context.Context, in *ffprotocol.ListRequest) (*ffprotocol.ListResponse, error) {
	n.once.Do(n.init)
	n.handleSummary(in.GetFrom(), nil)
	list := n.Members.View().List()
	out := &ffprotocol.ListResponse{From: n.summary()}
	out.From.ListRevision, out.From.ListDigest = list.Revision(), list.Digest()
	out.From.SetChecksum()
	size := 0
	for _, b := range list.DifferingBuckets(in.GetBucketDigests()) {
		for _, vm := range list.InBuckets([]int{b}) {
			m := vmToProto(vm)
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
