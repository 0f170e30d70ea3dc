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

// Capacities of the queues between the duties of a node. What does not fit is
// dropped; the next exchange brings it again.
const (
	hintCapacity = 64
	newsCapacity = 64
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

// Node is the distribution in one daemon. Its exported fields are set before Run.
type Node struct {
	// Self is the VM of this daemon.
	Self ffmember.VM
	// Incarnation identifies this run of the daemon.
	Incarnation ffmember.Incarnation
	// Seeds are peer addresses to ask before any list of VMs is known.
	Seeds    []string
	Store    *Store
	Members  *Members
	Budget   *Budget
	Peers    Peers
	Platform Platform
	// Audit receives pauses; nothing when nil.
	Audit Auditor
	Log   zerolog.Logger
	// OnPause is called when the daemon notices that it was paused; nothing when nil.
	OnPause func()
	// IntN returns a random number below n; that of math/rand/v2 when nil.
	IntN func(n int) int

	once    sync.Once
	learnt  atomic.Bool
	relearn chan struct{}
	hints   chan hint
	lists   chan hint
	news    chan news
	pause   pauseDetector
	rumours rumours
	staged  staged
	own     ownState
	readers readers
	counts  nodeCounts
}

func (n *Node) init() {
	if n.IntN == nil {
		n.IntN = rand.IntN
	}
	n.relearn = make(chan struct{}, 1)
	n.hints = make(chan hint, hintCapacity)
	n.lists = make(chan hint, hintCapacity)
	n.news = make(chan news, newsCapacity)
	n.pause.beat(time.Now())
}

// Run runs every duty until the context ends.
func (n *Node) Run(ctx context.Context) error {
	n.once.Do(n.init)
	group, ctx := errgroup.WithContext(ctx)
	duties := []func(context.Context) error{
		n.runStartup,
		n.runPull,
		n.runListPull,
		n.runAnnounce,
		n.runExchange,
		n.runManifestWatch,
		n.runListWatch,
		n.runPause,
	}
	for _, duty := range duties {
		group.Go(func() error { return duty(ctx) })
	}
	return group.Wait()
}

// Ready reports whether the daemon has learnt the greatest version that it could
// and was not paused since; only then it serves calls and pieces.
func (n *Node) Ready() bool {
	n.once.Do(n.init)
	return n.learnt.Load() && !n.pause.late(time.Now()) && n.Store.Snapshot() != nil
}

// summary returns what this daemon has, for a message to another.
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
		s.Version = versionOut(n.Store.Version())
	}
	return s.Seal()
}

// learn takes in what another daemon has; where this one is behind it pulls.
func (n *Node) learn(from *ffprotocol.Summary, evidence []*ffprotocol.Evidence) {
	if !from.Intact() {
		n.counts.corrupt.Add(1)
		return
	}
	if from.GetVm() == "" || from.GetVm() == n.Self.Name {
		return
	}
	n.Members.Answered(from.GetVm())
	h := hint{
		version: versionIn(from.GetVersion()),
		address: from.GetPeerAddress(),
		foreign: from.GetDataCentre() != n.Self.DataCentre,
	}
	n.Store.Observe(h.version)
	if n.Store.Wants(h.version) {
		offer(n.hints, h)
	}
	list := n.Members.View().List()
	if list.OlderThan(from.GetListRevision(), from.GetListDigest()) {
		offer(n.lists, h)
	}
	n.learnEvidence(evidenceIn(evidence), h.foreign)
	if from.GetEvidenceDigest() == n.Members.View().EvidenceDigest() {
		n.rumours.clear()
	}
}

// offer puts v into a queue if it has room.
func offer[T any](queue chan<- T, v T) {
	select {
	case queue <- v:
	default:
	}
}

// consume handles what comes through a queue, one after the other, until the context ends.
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

// jitter returns a random duration from half of d to one and a half of it.
func (n *Node) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(n.IntN(int(d)))
}

// pick returns up to count of vms at random, without this daemon's own.
func (n *Node) pick(vms []ffmember.VM, count int) []ffmember.VM {
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

// coprimeStep returns the first number from random on that has no divisor in common with size.
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
