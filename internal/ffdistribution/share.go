package ffdistribution

import (
	"context"
	"slices"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffplacement"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

const (
	// directReads is the number of missing pieces that a reader reads alone.
	directReads = 2
	// shareInterval is the mean time between two rounds in which a daemon asks
	// the others for their parts.
	shareInterval = 200 * time.Millisecond
	// sharePatience is how long a daemon goes on without a new piece.
	sharePatience = 2 * time.Second
	// maxSharers bounds the daemons of one data centre that share at the start.
	maxSharers = 32
)

// part is the pieces that one daemon reads from the platform for all sharers.
type part struct {
	sharer ffmember.VM
	refs   []ffconfig.PieceRef
}

// share divides the missing pieces among the sharers by rendezvous hash, so that
// a large version costs each reader a small part of its budget: it reads its own
// part from the platform and asks the others for theirs.
func (f *fetch) share(ctx context.Context) {
	missing := f.missing()
	if len(missing) <= directReads {
		return
	}
	for _, p := range f.parts(missing) {
		if p.sharer.Name == f.n.Self.Name {
			f.fromPlatform(ctx, p.refs)
		}
	}
	count := len(f.missing())
	giveUp := time.Now().Add(sharePatience)
	for count > 0 && time.Now().Before(giveUp) {
		if waitUntil(ctx, time.Now().Add(f.n.jitter(shareInterval))) != nil {
			return
		}
		f.askParts(ctx)
		if left := len(f.missing()); left < count {
			count = left
			giveUp = time.Now().Add(sharePatience)
		}
	}
}

func (f *fetch) askParts(ctx context.Context) {
	inParallel(f.parts(f.missing()), func(p part) {
		if p.sharer.Name != f.n.Self.Name {
			f.fromPeer(ctx, p.sharer.PeerAddress, p.refs)
		}
	})
}

// parts groups pieces by the sharer that reads them.
func (f *fetch) parts(refs []ffconfig.PieceRef) []part {
	sharers := f.n.sharers()
	bySharer := make(map[string]*part, len(sharers))
	var parts []*part
	for _, p := range refs {
		for _, vm := range ffplacement.First("piece/"+string(p.Digest), sharers, 1) {
			if bySharer[vm.Name] == nil {
				bySharer[vm.Name] = &part{sharer: vm}
				parts = append(parts, bySharer[vm.Name])
			}
			bySharer[vm.Name].refs = append(bySharer[vm.Name].refs, p)
		}
	}
	grouped := make([]part, len(parts))
	for i, p := range parts {
		grouped[i] = *p
	}
	return grouped
}

// sharers returns the daemons that share the reading of a version, by this
// daemon's own view: the readers of every data centre, and at the start, when
// each daemon lacks everything, more of those that have the greater part of the
// rate. Daemons with the lesser part do not share unless there is no other.
func (n *Node) sharers() []ffmember.VM {
	view := n.Members.View()
	count := ffplacement.ReaderCount
	if !n.learnt.Load() {
		count = maxSharers
	}
	var all []ffmember.VM
	for _, d := range view.DataCentres() {
		all = append(all, n.readersOf(view, d, count)...)
	}
	favoured := slices.DeleteFunc(slices.Clone(all), func(vm ffmember.VM) bool {
		return !ffplacement.Favoured(vm.Name, n.Budget.Fraction())
	})
	if len(favoured) > 0 {
		return favoured
	}
	return all
}
