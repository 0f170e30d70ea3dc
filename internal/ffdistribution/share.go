package ffdistribution

import (
	"context"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffplacement"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

const (
	// directReads is the number of missing pieces that a reader reads alone.
	directReads = 2
	// shareRounds bounds how often a reader asks the others for their parts.
	shareRounds = 8
	// shareInterval is the time between two rounds.
	shareInterval = 150 * time.Millisecond
)

// part is the pieces that one reader reads from the platform for all readers.
type part struct {
	reader ffmember.VM
	refs   []ffconfig.PieceRef
}

// share divides the missing pieces among all readers by rendezvous hash, so that
// a large version costs each reader a small part of its budget: it reads its own
// part from the platform and asks the others for theirs.
func (f *fetch) share(ctx context.Context) {
	missing := f.missing()
	if len(missing) <= directReads {
		return
	}
	for _, p := range f.parts(missing) {
		if p.reader.Name == f.n.Self.Name {
			f.fromPlatform(ctx, p.refs)
		}
	}
	for range shareRounds {
		if len(f.missing()) == 0 || waitUntil(ctx, time.Now().Add(f.n.jitter(shareInterval))) != nil {
			return
		}
		f.askParts(ctx)
	}
}

func (f *fetch) askParts(ctx context.Context) {
	inParallel(f.parts(f.missing()), func(p part) {
		if p.reader.Name != f.n.Self.Name {
			f.fromPeer(ctx, p.reader.PeerAddress, p.refs)
		}
	})
}

// parts groups pieces by the reader, of any data centre, that reads them.
func (f *fetch) parts(refs []ffconfig.PieceRef) []part {
	readers := f.n.allReaders()
	byReader := make(map[string]*part, len(readers))
	var parts []*part
	for _, p := range refs {
		for _, vm := range ffplacement.First("piece/"+string(p.Digest), readers, 1) {
			if byReader[vm.Name] == nil {
				byReader[vm.Name] = &part{reader: vm}
				parts = append(parts, byReader[vm.Name])
			}
			byReader[vm.Name].refs = append(byReader[vm.Name].refs, p)
		}
	}
	grouped := make([]part, len(parts))
	for i, p := range parts {
		grouped[i] = *p
	}
	return grouped
}

// allReaders returns the readers of every data centre, by this daemon's own view.
func (n *Node) allReaders() []ffmember.VM {
	view := n.Members.View()
	var all []ffmember.VM
	for _, d := range view.DataCentres() {
		all = append(all, n.readersOf(view, d, ffplacement.ReaderCount)...)
	}
	return all
}
