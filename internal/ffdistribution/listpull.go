package ffdistribution

import (
	"context"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffprotocol"
)

// listRounds bounds the requests for one list.
const listRounds = 8

// runListPull follows hints of newer lists.
func (n *Node) runListPull(ctx context.Context) error {
	return consume(ctx, n.lists, func(ctx context.Context, h hint) {
		if err := n.pullList(ctx, h); err != nil {
			n.Log.Debug().Err(err).Str("peer", h.address).Msg("VM list not pulled")
		}
	})
}

// pullList fetches the buckets in which the peer's newer list differs. The list
// counts only when its digest is the one that the peer gave.
func (n *Node) pullList(ctx context.Context, h hint) error {
	list := n.Members.View().List()
	for range listRounds {
		out, err := n.Peers.List(ctx, h.address, &ffprotocol.ListRequest{From: n.summary(), BucketDigests: list.BucketDigests()})
		if err != nil {
			return &Error{Op: "pull list", Kind: KindUnreachable, Err: err}
		}
		from := out.GetFrom()
		if !from.Intact() {
			return &Error{Op: "pull list", Kind: KindCorrupt, Err: errDamaged}
		}
		if !n.Members.View().List().OlderThan(from.GetListRevision(), from.GetListDigest()) {
			return nil
		}
		list = patch(list, out)
		if list.Digest() == from.GetListDigest() {
			n.acceptList(list, h.foreign)
			return nil
		}
	}
	return &Error{Op: "pull list", Kind: KindCorrupt, Err: errListDigest}
}

func patch(list *ffmember.List, out *ffprotocol.ListResponse) *ffmember.List {
	buckets := make([]int, len(out.GetBuckets()))
	for i, b := range out.GetBuckets() {
		buckets[i] = int(b)
	}
	vms := make([]ffmember.VM, len(out.GetVms()))
	for i, vm := range out.GetVms() {
		vms[i] = vmIn(vm)
	}
	return list.WithBuckets(out.GetFrom().GetListRevision(), buckets, vms)
}
