package ffdistribution_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"fireflyfall.dev/fireflyfall/internal/ffdistribution"
	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffplatform"
	"fireflyfall.dev/fireflyfall/internal/ffprotocol"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// corruptRevisionOffset is added to the list revision in a corrupted summary.
const corruptRevisionOffset = 1000

var errFault = errors.New("injected fault")

// release is one published version.
type release struct {
	version  ffconfig.Version
	manifest []byte
	pieces   map[ffconfig.Digest][]byte
}

// newRelease returns a version with one service, named after the number and variant,
// and routes to it. If faulty, one route refers to a service that does not exist.
func newRelease(number uint64, variant string, faulty bool) release {
	return newLargeRelease(number, variant, faulty, 0)
}

// newLargeRelease returns a release like newRelease with additional routes.
func newLargeRelease(number uint64, variant string, faulty bool, routes int) release {
	service := ffconfig.Service{Name: fmt.Sprintf("desk-%d-%s", number, variant), Resources: []string{"trolleys"}, Slots: 2, LongSlots: 1, Connections: 4, QueueLength: 8}
	route := ffconfig.Route{Name: "book", Method: "POST", Path: "/book", Service: service.Name, Resource: "trolleys", TimeoutMillis: 1000}
	if faulty {
		route.Service = "absent"
	}
	lookRoute := ffconfig.Route{Name: "look", Method: "GET", Path: "/look", Service: service.Name, Resource: "trolleys", TimeoutMillis: 1000}
	r := release{pieces: make(map[ffconfig.Digest][]byte)}
	m := ffconfig.Manifest{Number: number}
	add := func(kind ffconfig.PieceKind, name string, value any) {
		ref, content, err := ffconfig.EncodePiece(kind, name, value)
		if err != nil {
			panic(err)
		}
		m.Pieces = append(m.Pieces, ref)
		r.pieces[ref.Digest] = content
	}
	add(ffconfig.PieceService, service.Name, service)
	add(ffconfig.PieceRoute, route.Name, route)
	add(ffconfig.PieceRoute, lookRoute.Name, lookRoute)
	for i := range routes {
		extra := lookRoute
		extra.Name = fmt.Sprintf("look-%d", i)
		extra.Path = fmt.Sprintf("/look/%d", i)
		add(ffconfig.PieceRoute, extra.Name, extra)
	}
	var err error
	if r.manifest, err = m.Encode(); err != nil {
		panic(err)
	}
	r.version = ffconfig.Version{Number: number, Digest: ffconfig.DigestOf(r.manifest)}
	return r
}

// newAmendedRelease returns a release with many routes, of which only one depends on
// the number.
func newAmendedRelease(number uint64, routes int) release {
	r := newLargeRelease(1, "a", false, routes)
	m, _, err := ffconfig.DecodeManifest(r.manifest)
	if err != nil {
		panic(err)
	}
	m.Number = number
	for i, p := range m.Pieces {
		if p.Kind != ffconfig.PieceRoute || p.Name != "book" {
			continue
		}
		route := ffconfig.Route{Name: "book", Method: "POST", Path: "/book", Service: "desk-1-a", Resource: "trolleys", TimeoutMillis: int64(number)}
		ref, content, err := ffconfig.EncodePiece(p.Kind, p.Name, route)
		if err != nil {
			panic(err)
		}
		m.Pieces[i] = ref
		r.pieces[ref.Digest] = content
	}
	if r.manifest, err = m.Encode(); err != nil {
		panic(err)
	}
	r.version = ffconfig.Version{Number: number, Digest: ffconfig.DigestOf(r.manifest)}
	return r
}

// platform is a fake platform: a manifest, pieces and a list of VMs, with faults.
type platform struct {
	mu       sync.Mutex
	revision uint64
	current  release
	pieces   map[ffconfig.Digest][]byte
	list     ffplatform.VMList
	changed  chan struct{}
	down     bool
	// corrupt is the set of digests of pieces for which reads report a mismatch.
	corrupt map[ffconfig.Digest]bool
	reads   int
}

func newPlatform(vms []ffmember.VM) *platform {
	return &platform{
		pieces:  make(map[ffconfig.Digest][]byte),
		corrupt: make(map[ffconfig.Digest]bool),
		list:    ffplatform.VMList{Revision: 1, VMs: vms},
		changed: make(chan struct{}),
	}
}

func (p *platform) update(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
	close(p.changed)
	p.changed = make(chan struct{})
}

// serve makes a release the current one. Pieces of earlier releases remain available.
func (p *platform) serve(r release) {
	p.update(func() {
		p.revision++
		p.current = r
		maps.Copy(p.pieces, r.pieces)
	})
}

func (p *platform) setDown(down bool) { p.update(func() { p.down = down }) }

// budgetedPlatform limits one daemon's calls to the platform to its budget.
type budgetedPlatform struct {
	*platform
	budget *ffdistribution.Budget
}

func (p budgetedPlatform) Read(ctx context.Context, key string) (ffplatform.Value, error) {
	if err := p.budget.Wait(ctx); err != nil {
		return ffplatform.Value{}, err
	}
	return p.platform.Read(ctx, key)
}

func (p budgetedPlatform) Watch(ctx context.Context, key string, after uint64, until time.Time) (ffplatform.Value, error) {
	if err := p.budget.Wait(ctx); err != nil {
		return ffplatform.Value{}, err
	}
	return p.platform.Watch(ctx, key, after, until)
}

func (p budgetedPlatform) VMs(ctx context.Context) (ffplatform.VMList, error) {
	if err := p.budget.Wait(ctx); err != nil {
		return ffplatform.VMList{}, err
	}
	return p.platform.VMs(ctx)
}

func (p budgetedPlatform) WatchVMs(ctx context.Context, after uint64, until time.Time) (ffplatform.VMList, error) {
	if err := p.budget.Wait(ctx); err != nil {
		return ffplatform.VMList{}, err
	}
	return p.platform.WatchVMs(ctx, after, until)
}

func (p *platform) Read(_ context.Context, key string) (ffplatform.Value, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	content := p.current.manifest
	digest, isPiece := strings.CutPrefix(key, ffplatform.PieceKey(""))
	if isPiece {
		content = p.pieces[ffconfig.Digest(digest)]
	}
	switch {
	case p.down:
		return ffplatform.Value{}, errFault
	case content == nil:
		return ffplatform.Value{}, &ffplatform.Error{Kind: ffplatform.KindNotFound, Err: errFault}
	case p.corrupt[ffconfig.Digest(digest)]:
		return ffplatform.Value{}, &ffplatform.Error{Kind: ffplatform.KindMismatch, Err: errFault}
	}
	return ffplatform.Value{Revision: p.revision, Content: content}, nil
}

func (p *platform) Watch(ctx context.Context, key string, after uint64, until time.Time) (ffplatform.Value, error) {
	for {
		v, err := p.Read(ctx, key)
		if err != nil || v.Revision != after {
			return v, err
		}
		if !p.waitForChange(ctx, until) {
			return ffplatform.Value{Revision: after}, nil
		}
	}
}

// waitForChange reports whether a change occurred before the given time.
func (p *platform) waitForChange(ctx context.Context, until time.Time) bool {
	p.mu.Lock()
	changed := p.changed
	p.mu.Unlock()
	select {
	case <-changed:
		return true
	case <-time.After(time.Until(until)):
	case <-ctx.Done():
	}
	return false
}

func (p *platform) VMs(context.Context) (ffplatform.VMList, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return ffplatform.VMList{}, errFault
	}
	return p.list, nil
}

func (p *platform) WatchVMs(ctx context.Context, after uint64, until time.Time) (ffplatform.VMList, error) {
	for {
		l, err := p.VMs(ctx)
		if err != nil || l.Revision != after {
			return l, err
		}
		if !p.waitForChange(ctx, until) {
			return ffplatform.VMList{Revision: after}, nil
		}
	}
}

// network carries messages between nodes, with losses, duplicates and delays.
type network struct {
	mu    sync.Mutex
	nodes map[string]*ffdistribution.Node
	// blocked holds the pairs (from, to) whose messages hang; an empty name matches all.
	blocked map[[2]string]bool
	random  *rand.Rand
	// lossPercent, duplicatePercent and maxDelay apply to every message.
	lossPercent, duplicatePercent int
	maxDelay                      time.Duration
	// corrupting is true while half of the pieces responses, summaries and evidence
	// are corrupted in transit.
	corrupting bool
}

func (n *network) set(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
}

func (n *network) percent(p int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.random.IntN(100) < p
}

func (n *network) route(from, to string) (*ffdistribution.Node, time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	hangs := n.blocked[[2]string{from, to}] || n.blocked[[2]string{from, ""}] || n.blocked[[2]string{"", to}]
	return n.nodes[to], time.Duration(n.random.Int64N(int64(n.maxDelay) + 1)), hangs
}

// link is the network from the point of view of one node.
type link struct {
	*network
	from string
}

// deliver delivers a request and returns the response.
func deliver[In, Out proto.Message](ctx context.Context, l link, to string, in In, handle func(*ffdistribution.Node, context.Context, In) (Out, error)) (Out, error) {
	var zero Out
	node, delay, hangs := l.route(l.from, to)
	if hangs || l.percent(l.lossPercent) {
		<-ctx.Done()
		return zero, ctx.Err()
	}
	if node == nil {
		return zero, errFault
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return zero, ctx.Err()
	}
	if l.percent(l.duplicatePercent) {
		_, _ = handle(node, ctx, proto.Clone(in).(In))
	}
	out, err := handle(node, ctx, proto.Clone(in).(In))
	if err != nil {
		return zero, err
	}
	if _, _, hangs = l.route(to, l.from); hangs || l.percent(l.lossPercent) {
		<-ctx.Done()
		return zero, ctx.Err()
	}
	return proto.Clone(out).(Out), nil
}

func (l link) Exchange(ctx context.Context, to string, in *ffprotocol.ExchangeRequest) (*ffprotocol.ExchangeResponse, error) {
	in = proto.CloneOf(in)
	l.corrupt(in.GetFrom(), in.GetEvidence()...)
	out, err := deliver(ctx, l, to, in, (*ffdistribution.Node).Exchange)
	l.corrupt(out.GetFrom(), out.GetEvidence()...)
	return out, err
}

func (l link) Manifest(ctx context.Context, to string, in *ffprotocol.ManifestRequest) (*ffprotocol.ManifestResponse, error) {
	return deliver(ctx, l, to, in, (*ffdistribution.Node).Manifest)
}

func (l link) Pieces(ctx context.Context, to string, in *ffprotocol.PiecesRequest) (*ffprotocol.PiecesResponse, error) {
	out, err := deliver(ctx, l, to, in, (*ffdistribution.Node).Pieces)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil && l.corrupting && l.random.IntN(2) == 0 {
		for _, p := range out.GetPieces() {
			p.Content = append([]byte("damaged"), p.GetContent()...)
		}
	}
	return out, err
}

func (l link) List(ctx context.Context, to string, in *ffprotocol.ListRequest) (*ffprotocol.ListResponse, error) {
	out, err := deliver(ctx, l, to, in, (*ffdistribution.Node).List)
	l.corrupt(out.GetFrom())
	return out, err
}

// corrupt corrupts half of the messages, either the summary's list revision or the
// state of the evidence, while the network is corrupting.
func (l link) corrupt(s *ffprotocol.Summary, evidence ...*ffprotocol.Evidence) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.corrupting || s == nil || l.random.IntN(2) == 0 {
		return
	}
	if l.random.IntN(2) == 0 {
		s.ListRevision += corruptRevisionOffset
		return
	}
	for _, e := range evidence {
		e.State = int32(ffmember.StateGone)
	}
}
