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
	// maxDirectReads is the number of missing pieces up to which a daemon reads
	// all of them itself.
	maxDirectReads = 2
	// shareInterval is the mean interval between the rounds in which a daemon
	// requests the parts of the other owners.
	shareInterval = 200 * time.Millisecond
	// shareTimeout is how long a daemon continues to request parts without
	// receiving a new piece.
	shareTimeout = 2 * time.Second
	// maxPartOwners is the maximum number of part owners per data centre at the start.
	maxPartOwners = 32
)

// part holds the pieces that one daemon, its owner, reads from the platform for all.
type part struct {
	owner ffmember.VM
	refs  []ffconfig.PieceRef
}

// fetchShared divides the missing pieces among the part owners by rendezvous hash,
// so that a large version costs each owner only a small part of its budget. It reads
// this daemon's own part from the platform and requests the others from their owners.
func (f *fetch) fetchShared(ctx context.Context) {
	missing := f.missing()
	if len(missing) <= maxDirectReads {
		return
	}
	for _, p := range f.partition(missing) {
		if p.owner.Name == f.n.Self.Name {
			f.fetchFromPlatform(ctx, p.refs)
		}
	}
	count := len(f.missing())
	deadline := time.Now().Add(shareTimeout)
	for count > 0 && time.Now().Before(deadline) {
		if waitUntil(ctx, time.Now().Add(f.n.jitter(shareInterval))) != nil {
			return
		}
		f.fetchParts(ctx)
		if missingCount := len(f.missing()); missingCount < count {
			count = missingCount
			deadline = time.Now().Add(shareTimeout)
		}
	}
}

func (f *fetch) fetchParts(ctx context.Context) {
	inParallel(f.partition(f.missing()), func(p part) {
		if p.owner.Name != f.n.Self.Name {
			f.fetchFromPeer(ctx, p.owner.PeerAddress, p.refs)
		}
	})
}

// partition groups pieces by the owner that reads them.
func (f *fetch) partition(refs []ffconfig.PieceRef) []part {
	owners := f.n.partOwners()
	byOwner := make(map[string]*part, len(owners))
	var parts []*part
	for _, p := range refs {
		for _, vm := range ffplacement.First("piece/"+string(p.Digest), owners, 1) {
			if byOwner[vm.Name] == nil {
				byOwner[vm.Name] = &part{owner: vm}
				parts = append(parts, byOwner[vm.Name])
			}
			byOwner[vm.Name].refs = append(byOwner[vm.Name].refs, p)
		}
	}
	grouped := make([]part, len(parts))
	for i, p := range parts {
		grouped[i] = *p
	}
	return grouped
}

// partOwners returns the daemons that share the reads of a version, according to
// this daemon's view: the readers of every data centre and, before this daemon has
// synchronised, up to maxPartOwners per data centre, because at the start of a fleet
// every daemon lacks all pieces. Daemons that are not favoured, and so have a small
// budget, are owners only if no favoured one is known.
func (n *Node) partOwners() []ffmember.VM {
	view := n.Members.View()
	count := ffplacement.ReaderCount
	if !n.synced.Load() {
		count = maxPartOwners
	}
	var all []ffmember.VM
	for _, d := range view.DataCentres() {
		all = append(all, n.readersOf(view, d, count)...)
	}
	favoured := slices.DeleteFunc(slices.Clone(all), func(vm ffmember.VM) bool {
		return !ffplacement.Favoured(vm.Name, n.Budget.FavouredFraction())
	})
	if len(favoured) > 0 {
		return favoured
	}
	return all
}
