package ffdistribution

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffplatform"
	"fireflyfall.dev/fireflyfall/internal/ffprotocol"
)

// Capacities of the queues between the tasks of a node. Items that do not fit are
// dropped; later exchanges deliver the same information again.
const (
	hintCapacity   = 64
	updateCapacity = 64
)

// Peers calls other daemons by address.
type Peers interface {
	Exchange(ctx context.Context, address string, in *ffprotocol.ExchangeRequest) (*ffprotocol.ExchangeResponse, error)
	Manifest(ctx context.Context, address string, in *ffprotocol.ManifestRequest) (*ffprotocol.ManifestResponse, error)
	Pieces(ctx context.Context, address string, in *ffprotocol.PiecesRequest) (*ffprotocol.PiecesResponse, error)
	List(ctx context.Context, address string, in *ffprotocol.ListRequest) (*ffprotocol.ListResponse, error)
}

// Platform reads the platform, within the budget of this daemon.
type Platform interface {
	// Read returns the value under key.
	Read(ctx context.Context, key string) (ffplatform.Value, error)
	// Watch waits until the revision of the value under key differs from after,
	// or until the given time; then it returns the same revision without content.
	Watch(ctx context.Context, key string, after uint64, until time.Time) (ffplatform.Value, error)
	// VMs returns the list of VMs.
	VMs(ctx context.Context) (ffplatform.VMList, error)
	// WatchVMs waits until the revision of the list differs from after, or until
	// the given time; then it returns the same revision without VMs.
	WatchVMs(ctx context.Context, after uint64, until time.Time) (ffplatform.VMList, error)
}

// Node runs the distribution in one daemon. Set its exported fields before Run.
type Node struct {
	// Self is the VM of this daemon.
	Self ffmember.VM
	// Incarnation identifies this run of the daemon.
	Incarnation ffmember.Incarnation
	// Seeds are the peer addresses to contact while no VM list is known.
	Seeds    []string
	Store    *Store
	Members  *Members
	Budget   *Budget
	Peers    Peers
	Platform Platform
	// Audit records detected pauses of the process; optional.
	Audit Auditor
	Log   zerolog.Logger
	// OnPause is called after a pause of the process is detected; optional.
	OnPause func()
	// IntN returns a random number from 0 to n-1; rand.IntN of math/rand/v2 if nil.
	IntN func(n int) int

	once   sync.Once
	synced atomic.Bool
	// platformLost is true while this daemon is a reader whose last read of the
	// platform's manifest failed.
	platformLost  atomic.Bool
	resync        chan struct{}
	hints         chan hint
	listHints     chan hint
	updates       chan update
	pause         pauseDetector
	evidenceQueue evidenceQueue
	staged        staged
	own           ownState
	readerCache   readerCache
	counts        nodeCounts
}

func (n *Node) init() {
	if n.IntN == nil {
		n.IntN = rand.IntN
	}
	n.resync = make(chan struct{}, 1)
	n.hints = make(chan hint, hintCapacity)
	n.listHints = make(chan hint, hintCapacity)
	n.updates = make(chan update, updateCapacity)
	n.pause.beat(time.Now())
}

// Run runs all tasks until the context ends.
func (n *Node) Run(ctx context.Context) error {
	n.once.Do(n.init)
	group, ctx := errgroup.WithContext(ctx)
	tasks := []func(context.Context) error{
		n.runStartup,
		n.runPull,
		n.runListPull,
		n.runAnnounce,
		n.runExchange,
		n.runManifestWatch,
		n.runListWatch,
		n.runPause,
	}
	for _, task := range tasks {
		group.Go(func() error { return task(ctx) })
	}
	return group.Wait()
}

// Ready reports whether the daemon has synchronised with the platform or its peers,
// has not been paused since, and has an active version. Only then does it accept
// calls and return manifests.
func (n *Node) Ready() bool {
	n.once.Do(n.init)
	return n.synced.Load() && !n.pause.overdue(time.Now()) && n.Store.Snapshot() != nil
}

// summary describes this daemon's current state for a message to a peer. The
// version is set only while the daemon is ready.
func (n *Node) summary() *ffprotocol.Summary {
	view := n.Members.View()
	s := &ffprotocol.Summary{
		Vm:             n.Self.Name,
		DataCentre:     n.Self.DataCentre,
		PeerAddress:    n.Self.PeerAddress,
		Incarnation:    uint64(n.Incarnation),
		Ready:          n.Ready(),
		ListRevision:   view.List().Revision(),
		ListDigest:     view.List().Digest(),
		EvidenceDigest: view.EvidenceDigest(),
	}
	if s.Ready {
		s.Version = versionToProto(n.Store.Version())
	}
	return s.SetChecksum()
}

// handleSummary merges a peer's summary and evidence. If the peer has a newer
// version or VM list, it queues a pull.
func (n *Node) handleSummary(from *ffprotocol.Summary, evidence []*ffprotocol.Evidence) {
	if !from.HasValidChecksum() {
		n.counts.corrupt.Add(1)
		return
	}
	if from.GetVm() == "" || from.GetVm() == n.Self.Name {
		return
	}
	n.Members.ClearSuspect(from.GetVm())
	h := hint{
		version:  versionFromProto(from.GetVersion()),
		address:  from.GetPeerAddress(),
		external: from.GetDataCentre() != n.Self.DataCentre,
	}
	n.Store.AuditConflict(h.version)
	if n.Store.ShouldApply(h.version) {
		trySend(n.hints, h)
	}
	list := n.Members.View().List()
	if list.OlderThan(from.GetListRevision(), from.GetListDigest()) {
		trySend(n.listHints, h)
	}
	n.mergeEvidence(evidenceFromProto(evidence), h.external)
	if from.GetEvidenceDigest() == n.Members.View().EvidenceDigest() {
		n.evidenceQueue.clear()
	}
}

// trySend sends v to a queue, or drops it if the queue is full.
func trySend[T any](queue chan<- T, v T) {
	select {
	case queue <- v:
	default:
	}
}

// consume handles the items of a queue one at a time until the context ends.
func consume[T any](ctx context.Context, queue <-chan T, handle func(context.Context, T)) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case v := <-queue:
			handle(ctx, v)
		}
	}
}

// jitter returns a random duration between 0.5*d and 1.5*d.
func (n *Node) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(n.IntN(int(d)))
}

// pickRandom returns up to count random VMs of vms, excluding this daemon's own.
func (n *Node) pickRandom(vms []ffmember.VM, count int) []ffmember.VM {
	picked := make([]ffmember.VM, 0, count)
	if len(vms) == 0 {
		return picked
	}
	start, step := n.IntN(len(vms)), coprimeStep(n.IntN(len(vms)), len(vms))
	for i := range len(vms) {
		vm := vms[(start+i*step)%len(vms)]
		if vm.Name != n.Self.Name && len(picked) < count {
			picked = append(picked, vm)
		}
	}
	return picked
}

// coprimeStep returns the smallest number above random that is coprime to size.
func coprimeStep(random, size int) int {
	step := random + 1
	for gcd(step, size) != 1 {
		step++
	}
	return step
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
