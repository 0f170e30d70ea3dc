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
	// parallelFetches is the maximum number of concurrent requests for pieces.
	parallelFetches = 4
	// batchBytes is the maximum total size of the pieces in one request to a
	// peer, in bytes. A single larger piece is requested alone.
	batchBytes = 512 << 10
	// piecesTimeout is the timeout of one request for pieces.
	piecesTimeout = 2 * time.Second
	// maxOtherPeers is the number of other peers that are asked for the pieces
	// that the first peer did not return.
	maxOtherPeers = 2
)

// fetch collects the pieces of one version.
type fetch struct {
	n    *Node
	refs []ffconfig.PieceRef

	mu      sync.Mutex
	pieces  map[ffconfig.Digest][]byte
	corrupt error
}

func (n *Node) newFetch(m ffconfig.Manifest) *fetch {
	f := &fetch{n: n, refs: m.Pieces, pieces: make(map[ffconfig.Digest][]byte, len(m.Pieces))}
	for _, p := range m.Pieces {
		// Stored pieces were verified when they were received, so they are not
		// hashed again.
		if content, ok := n.piece(p.Digest); ok && len(content) == p.Size {
			f.pieces[p.Digest] = content
		}
	}
	return f
}

// missing returns the pieces that have not been fetched yet, each digest once.
func (f *fetch) missing() []ffconfig.PieceRef {
	f.mu.Lock()
	defer f.mu.Unlock()
	var refs []ffconfig.PieceRef
	seen := make(map[ffconfig.Digest]bool)
	for _, p := range f.refs {
		if _, ok := f.pieces[p.Digest]; !ok && !seen[p.Digest] {
			refs = append(refs, p)
			seen[p.Digest] = true
		}
	}
	return refs
}

// add stores a piece if its content matches the reference.
func (f *fetch) add(p ffconfig.PieceRef, content []byte) {
	err := checkPiece(p, content)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.n.counts.corrupt.Add(1)
		f.corrupt = err
		return
	}
	f.pieces[p.Digest] = content
	f.n.staged.add(p.Digest, content)
}

// run fetches the missing pieces. If a peer has the version active, it asks that
// peer and then other peers; otherwise the part owners share the reads from
// the platform. Pieces still missing are read from the platform directly.
func (f *fetch) run(ctx context.Context, from versionSource) error {
	if from.peer != "" {
		f.fetchFromPeer(ctx, from.peer, f.missing())
		f.fetchFromOtherPeers(ctx, from.peer)
	} else {
		f.fetchShared(ctx)
	}
	f.fetchFromPlatform(ctx, f.missing())
	missing := f.missing()
	if len(missing) == 0 {
		return nil
	}
	if f.corrupt != nil {
		return f.corrupt
	}
	return &Error{Op: "fetch", Kind: KindMissing, Err: merry.Errorf("%d pieces, the first is %s", len(missing), missing[0].Name)}
}

func (f *fetch) fetchFromOtherPeers(ctx context.Context, first string) {
	if len(f.missing()) == 0 {
		return
	}
	for _, vm := range f.n.pickRandom(reachable(f.n.Members.View(), f.n.Self.DataCentre), maxOtherPeers) {
		if vm.PeerAddress != first {
			f.fetchFromPeer(ctx, vm.PeerAddress, f.missing())
		}
	}
}

// fetchFromPeer requests pieces from one peer, in parallel batches.
func (f *fetch) fetchFromPeer(ctx context.Context, address string, refs []ffconfig.PieceRef) {
	inParallel(batches(refs), func(refs []ffconfig.PieceRef) { f.fetchBatch(ctx, address, refs) })
}

// inParallel calls do for each item, with at most parallelFetches calls at once.
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

func (f *fetch) fetchBatch(ctx context.Context, address string, refs []ffconfig.PieceRef) {
	ctx, cancel := context.WithTimeout(ctx, piecesTimeout)
	defer cancel()
	in := &ffprotocol.PiecesRequest{From: f.n.summary()}
	byDigest := make(map[ffconfig.Digest]ffconfig.PieceRef, len(refs))
	for _, p := range refs {
		in.Digests = append(in.Digests, digestToProto(p.Digest))
		byDigest[p.Digest] = p
	}
	out, err := f.n.Peers.Pieces(ctx, address, in)
	if err != nil {
		f.n.Log.Debug().Err(err).Str("peer", address).Msg("pieces not fetched")
		return
	}
	for _, piece := range out.GetPieces() {
		if p, ok := byDigest[digestFromProto(piece.GetDigest())]; ok {
			f.add(p, piece.GetContent())
		}
	}
}

// fetchFromPlatform reads pieces from the platform, within the budget.
func (f *fetch) fetchFromPlatform(ctx context.Context, refs []ffconfig.PieceRef) {
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
