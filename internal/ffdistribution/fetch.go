package ffdistribution

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	"fireflyfall.dev/fireflyfall/internal/ffplatform"
	"fireflyfall.dev/fireflyfall/internal/ffprotocol"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

const (
	// parallelFetches bounds the requests for pieces that are under way at once.
	parallelFetches = 4
	// batchBytes bounds the pieces that one request asks a peer for, in bytes.
	batchBytes = 512 << 10
	// piecesTimeout bounds one request for pieces.
	piecesTimeout = 2 * time.Second
	// otherPeers is the number of other peers that are asked for what the first lacked.
	otherPeers = 2
)

// fetch collects the pieces of one version.
type fetch struct {
	n    *Node
	refs []ffconfig.PieceRef

	mu      sync.Mutex
	have    map[ffconfig.Digest][]byte
	corrupt error
}

func (n *Node) newFetch(m ffconfig.Manifest) *fetch {
	f := &fetch{n: n, refs: m.Pieces, have: make(map[ffconfig.Digest][]byte, len(m.Pieces))}
	for _, p := range m.Pieces {
		// What is kept was checked when it came, so it is not hashed again.
		if content, ok := n.piece(p.Digest); ok && len(content) == p.Size {
			f.have[p.Digest] = content
		}
	}
	return f
}

// missing returns the pieces that are not there yet, each digest once.
func (f *fetch) missing() []ffconfig.PieceRef {
	f.mu.Lock()
	defer f.mu.Unlock()
	var refs []ffconfig.PieceRef
	seen := make(map[ffconfig.Digest]bool)
	for _, p := range f.refs {
		if _, ok := f.have[p.Digest]; !ok && !seen[p.Digest] {
			refs = append(refs, p)
			seen[p.Digest] = true
		}
	}
	return refs
}

// add keeps a piece if its content is what the reference names.
func (f *fetch) add(p ffconfig.PieceRef, content []byte) {
	err := check(p, content)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.n.counts.corrupt.Add(1)
		f.corrupt = err
		return
	}
	f.have[p.Digest] = content
	f.n.staged.add(p.Digest, content)
}

// run fetches from the peer that has the version in force, then from others, and
// from the platform what no peer gave.
func (f *fetch) run(ctx context.Context, from origin) error {
	if from.peer != "" {
		f.fromPeer(ctx, from.peer, f.missing())
		f.fromOthers(ctx, from.peer)
	} else {
		f.share(ctx)
	}
	f.fromPlatform(ctx, f.missing())
	missing := f.missing()
	if len(missing) == 0 {
		return nil
	}
	if f.corrupt != nil {
		return f.corrupt
	}
	return &Error{Op: "fetch", Kind: KindMissing, Err: merry.Errorf("%d pieces, the first is %s", len(missing), missing[0].Name)}
}

func (f *fetch) fromOthers(ctx context.Context, first string) {
	if len(f.missing()) == 0 {
		return
	}
	for _, vm := range f.n.pick(reachable(f.n.Members.View(), f.n.Self.DataCentre), otherPeers) {
		if vm.PeerAddress != first {
			f.fromPeer(ctx, vm.PeerAddress, f.missing())
		}
	}
}

// fromPeer asks one peer for pieces, in parallel batches.
func (f *fetch) fromPeer(ctx context.Context, address string, refs []ffconfig.PieceRef) {
	inParallel(batches(refs), func(refs []ffconfig.PieceRef) { f.batch(ctx, address, refs) })
}

// inParallel runs do for each item, a bounded number at once.
func inParallel[T any](items []T, do func(T)) {
	var group errgroup.Group
	group.SetLimit(parallelFetches)
	for _, item := range items {
		group.Go(func() error {
			do(item)
			return nil
		})
	}
	_ = group.Wait()
}

func batches(refs []ffconfig.PieceRef) [][]ffconfig.PieceRef {
	var all [][]ffconfig.PieceRef
	size := 0
	for _, p := range refs {
		size += p.Size
		if len(all) == 0 || size > batchBytes || len(all[len(all)-1]) == maxPiecesPerRequest {
			all = append(all, nil)
			size = p.Size
		}
		all[len(all)-1] = append(all[len(all)-1], p)
	}
	return all
}

func (f *fetch) batch(ctx context.Context, address string, refs []ffconfig.PieceRef) {
	ctx, cancel := context.WithTimeout(ctx, piecesTimeout)
	defer cancel()
	in := &ffprotocol.PiecesRequest{From: f.n.summary()}
	byDigest := make(map[ffconfig.Digest]ffconfig.PieceRef, len(refs))
	for _, p := range refs {
		in.Digests = append(in.Digests, digestOut(p.Digest))
		byDigest[p.Digest] = p
	}
	out, err := f.n.Peers.Pieces(ctx, address, in)
	if err != nil {
		f.n.Log.Debug().Err(err).Str("peer", address).Msg("pieces not fetched")
		return
	}
	for _, piece := range out.GetPieces() {
		if p, ok := byDigest[digestIn(piece.GetDigest())]; ok {
			f.add(p, piece.GetContent())
		}
	}
}

// fromPlatform reads pieces from the platform, within the budget.
func (f *fetch) fromPlatform(ctx context.Context, refs []ffconfig.PieceRef) {
	inParallel(refs, func(p ffconfig.PieceRef) { f.readPiece(ctx, p) })
}

func (f *fetch) readPiece(ctx context.Context, p ffconfig.PieceRef) {
	f.n.counts.platformCalls.Add(1)
	value, err := f.n.Platform.Read(ctx, ffplatform.PieceKey(p.Digest))
	if err == nil {
		f.add(p, value.Content)
		return
	}
	f.n.Log.Debug().Err(err).Str("piece", p.Name).Msg("piece not read")
	if ffplatform.KindOf(err) == ffplatform.KindMismatch {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.corrupt = &Error{Op: "fetch", Kind: KindCorrupt, Err: err}
	}
}
