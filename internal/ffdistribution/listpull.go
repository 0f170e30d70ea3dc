package ffdistribution

import (
	"context"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffprotocol"
)

// maxListRequests is the maximum number of requests for one VM list.
const maxListRequests = 8

// runListPull pulls the VM lists that hints refer to.
func (n *Node) runListPull(ctx context.Context) error {
	return consume(ctx, n.listHints, func(ctx context.Context, h hint) {
		if err := n.pullList(ctx, h); err != nil {
			n.Log.Debug().Err(err).Str("peer", h.address).Msg("VM list not pulled")
		}
	})
}

// pullList fetches the buckets in which the peer's newer list differs. The list is
// applied only if its digest matches the digest that the peer sent.
func (n *Node) pullList(ctx context.Context, h hint) error {
	list := n.Members.View().List()
	for range maxListRequests {
		out, err := n.Peers.List(ctx, h.address, &ffprotocol.ListRequest{From: n.summary(), BucketDigests: list.BucketDigests()})
		if err != nil {
			return &Error{Op: "pull list", Kind: KindUnreachable, Err: err}
		}
		from := out.GetFrom()
		if !from.HasValidChecksum() {
			return &Error{Op: "pull list", Kind: KindCorrupt, Err: errChecksum}
		}
		if !n.Members.View().List().OlderThan(from.GetListRevision(), from.GetListDigest()) {
			return nil
		}
		list = applyBuckets(list, out)
		if list.Digest() == from.GetListDigest() {
			n.applyList(list, h.external)
			return nil
		}
	}
	return &Error{Op: "pull list", Kind: KindCorrupt, Err: errListDigest}
}

// applyBuckets returns list with the buckets of the response replaced.
func applyBuckets(list *ffmember.List, out *ffprotocol.ListResponse) *ffmember.List {
	buckets := make([]int, len(out.GetBuckets()))
	for i, b := range out.GetBuckets() {
		buckets[i] = int(b)
	}
	vms := make([]ffmember.VM, len(out.GetVms()))
	for i, vm := range out.GetVms() {
		vms[i] = vmFromProto(vm)
	}
	return list.WithBuckets(out.GetFrom().GetListRevision(), buckets, vms)
}
