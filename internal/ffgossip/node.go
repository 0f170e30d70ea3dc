package ffgossip

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"fireflyfall.dev/fireflyfall/internal/ffhop"
	"fireflyfall.dev/fireflyfall/internal/ffmesh"
)

const (
	// heartbeatEvery is the time between two heartbeats to the same peer in a small fleet.
	heartbeatEvery = 250 * time.Millisecond
	// heartbeatRate bounds the heartbeats that a daemon sends in a second.
	heartbeatRate = 64
	// maxDatagram is the longest heartbeat, in bytes.
	maxDatagram = 1400
	// pullTimeout is how long a peer may send nothing of a word.
	pullTimeout = 500 * time.Millisecond
	// pullMost bounds one pull in all.
	pullMost = 3 * time.Second
	// pulls bounds the pulls that wait.
	pulls = 8
	// presumeFor is how long a daemon that starts takes others for live that it has
	// not heard of.
	presumeFor = 1500 * time.Millisecond
	// spreadAll is the greatest number of peers that a daemon with news tells all at
	// once. Of more it tells spreadSome, which tell others in turn.
	spreadAll  = 16
	spreadSome = 8
)

// Node exchanges heartbeats and words with the other daemons.
type Node struct {
	Name        string
	DataCentre  string
	Incarnation uint64
	// Listen is the address of the heartbeats; the port is the same on every VM.
	Listen netip.AddrPort
	State  *State
	Peers  *Peers
	Reader *Reader
	// Load returns what the gate knows of its target.
	Load func() ffmesh.Load
	// Heard is called for each heartbeat that is news.
	Heard func(vm netip.Addr, h Heartbeat)
	// Pool returns the connections to the daemon of a VM.
	Pool func(vm netip.Addr) *ffhop.Pool
	Log  zerolog.Logger

	conn *net.UDPConn
	// presumeUntil is when daemons that were not heard of stop to count as live.
	presumeUntil time.Time

	sequence atomic.Uint64
	leaving  atomic.Bool
	pull     chan netip.Addr
	next     int
	// every is the time between two heartbeats to the same peer, in nanoseconds.
	every   atomic.Int64
	sending sync.Mutex
}

// Run exchanges words until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(n.Listen))
	if err != nil {
		return &Error{Op: "listen for heartbeats", Kind: KindListen, Err: err}
	}
	n.conn = conn
	n.pull = make(chan netip.Addr, pulls)
	n.presumeUntil = time.Now().Add(presumeFor)
	n.Reader.Place = n.place
	n.Reader.Round = func() time.Duration { return time.Duration(n.every.Load()) }
	n.Reader.Spread = n.Spread
	var wg sync.WaitGroup
	for _, duty := range []func(context.Context){n.Reader.run, n.runHeartbeats, n.runPulls, n.runHearing} {
		wg.Go(func() { duty(ctx) })
	}
	<-ctx.Done()
	_ = conn.Close()
	wg.Wait()
	return nil
}

// place returns this daemon's place in the order of readers. One that has just
// started takes each VM with a target for live: a fleet that starts as a whole
// would otherwise read the store as one until everybody was heard.
func (n *Node) place() int {
	now := time.Now()
	var presumed []Member
	if now.Before(n.presumeUntil) {
		for _, t := range n.State.Fleet().All() {
			presumed = append(presumed, Member{VM: t.VM(), DataCentre: t.DataCentre})
		}
	}
	return n.Peers.Place(Member{VM: n.Listen.Addr(), DataCentre: n.DataCentre}, presumed, now)
}

// Leave tells the others that the daemon is about to end.
func (n *Node) Leave() {
	n.leaving.Store(true)
	n.send(n.targets())
}

// Spread sends a heartbeat to peers now: to all of a small fleet, and to some of a
// large one, which spread on what is news to them.
func (n *Node) Spread() {
	vms := n.targets()
	if len(vms) > spreadAll {
		rand.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
		vms = vms[:spreadSome]
	}
	n.send(vms)
}

// targets returns the other VMs: those with a target, and those heard of.
func (n *Node) targets() []netip.Addr {
	own := n.Listen.Addr()
	seen := map[netip.Addr]bool{own: true}
	var vms []netip.Addr
	add := func(vm netip.Addr) {
		if !seen[vm] {
			seen[vm] = true
			vms = append(vms, vm)
		}
	}
	for _, t := range n.State.Fleet().All() {
		add(t.VM())
	}
	for _, vm := range n.Peers.Known(time.Now()) {
		add(vm)
	}
	return vms
}

// runHeartbeats sends heartbeats at a bounded rate.
func (n *Node) runHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(heartbeatEvery)
	defer ticker.Stop()
	for {
		vms := n.targets()
		n.every.Store(int64(len(vms)) * int64(time.Second) / heartbeatRate)
		n.send(n.share(vms))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// share returns the part of vms that is next in turn.
func (n *Node) share(vms []netip.Addr) []netip.Addr {
	most := int(heartbeatRate * heartbeatEvery / time.Second)
	if len(vms) <= most {
		return vms
	}
	part := make([]netip.Addr, 0, most)
	for range most {
		n.next = (n.next + 1) % len(vms)
		part = append(part, vms[n.next])
	}
	return part
}

func (n *Node) heartbeat() Heartbeat {
	w := n.State.Word()
	h := Heartbeat{
		Name: n.Name, DataCentre: n.DataCentre, Incarnation: n.Incarnation,
		Sequence: n.sequence.Add(1), Leaving: n.leaving.Load(), Load: n.Load(),
		Every: max(heartbeatEvery, time.Duration(n.every.Load())),
	}
	if !w.Confirmed.IsZero() {
		h.Revision, h.Age, h.Digest = w.Revision, time.Since(w.Confirmed), n.digest()
	}
	return h
}

// digest names the content without the targets that only this daemon holds.
func (n *Node) digest() string {
	_, fleet := n.State.Read()
	w := *n.State.Word()
	w.Fleet = fleet
	return w.Digest()
}

func (n *Node) send(vms []netip.Addr) {
	n.sending.Lock()
	defer n.sending.Unlock()
	b, err := cbor.Marshal(n.heartbeat())
	if err != nil {
		n.Log.Error().Err(err).Msg("heartbeat cannot be encoded")
		return
	}
	failed := 0
	for _, vm := range vms {
		if _, err := n.conn.WriteToUDPAddrPort(b, netip.AddrPortFrom(vm, n.Listen.Port())); err != nil {
			failed++
		}
	}
	if failed > 0 {
		n.Log.Debug().Int("failed", failed).Msg("heartbeats not sent")
	}
}

// runHearing takes up the heartbeats of others.
func (n *Node) runHearing(ctx context.Context) {
	buffer := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		size, from, err := n.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				n.Log.Warn().Err(err).Msg("heartbeat not received")
			}
			continue
		}
		n.hear(from.Addr().Unmap(), buffer[:size])
	}
}

func (n *Node) hear(vm netip.Addr, b []byte) {
	var h Heartbeat
	if err := cbor.Unmarshal(b, &h); err != nil {
		n.Log.Warn().Err(err).Stringer("peer", vm).Msg("unreadable heartbeat")
		return
	}
	now := time.Now()
	if !n.Peers.Hear(vm, h, now) {
		return
	}
	n.Heard(vm, h)
	w := n.State.Word()
	if h.Digest == "" || h.Revision < w.Revision {
		return
	}
	if h.Digest == n.digest() {
		n.State.Confirm(h.Revision, now.Add(-h.Age))
		return
	}
	select {
	case n.pull <- vm:
	default:
	}
}

// runPulls fetches the words of peers that know more.
func (n *Node) runPulls(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case vm := <-n.pull:
			n.pullFrom(ctx, vm)
		}
	}
}

func (n *Node) pullFrom(ctx context.Context, vm netip.Addr) {
	peer, ok := n.Peers.Get(vm)
	if !ok || peer.Last.Revision < n.State.Word().Revision || peer.Last.Digest == n.digest() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pullMost)
	defer cancel()
	silence := time.AfterFunc(pullTimeout, cancel)
	defer silence.Stop()
	_, known := n.State.Read()
	c, err := fetch(ctx, n.Pool(vm), n.State.Word(), known, func() { silence.Reset(pullTimeout) })
	if err != nil {
		n.Log.Warn().Err(err).Stringer("peer", vm).Msg("word not pulled")
		return
	}
	before := n.digest()
	n.State.Offer(vm.String(), c.Revision, time.Now().Add(-c.Age), c.Table, c.fleet(known))
	if n.digest() != before {
		n.Spread()
	}
}
