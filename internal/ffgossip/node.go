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

	"fireflyfall.dev/fireflyfall/internal/ffdelegate"
	"fireflyfall.dev/fireflyfall/internal/fffleet"
	"fireflyfall.dev/fireflyfall/internal/ffhop"
	"fireflyfall.dev/fireflyfall/internal/ffmesh"
	"fireflyfall.dev/fireflyfall/internal/ffpartner"
)

const (
	// maxSpreadAll is the largest number of peers to which a daemon sends a change all
	// at once. If there are more, it sends it to spreadSample random peers, which
	// forward it.
	maxSpreadAll = 16
	spreadSample = 8
)

// Node exchanges heartbeats and snapshots with the other daemons.
type Node struct {
	DataCentre  string
	Incarnation uint64
	// Listen is the UDP address for heartbeats; the port is the same on every VM.
	Listen netip.AddrPort
	State  *State
	Peers  *Peers
	Reader *Reader
	// Load returns the current load of this VM's gate.
	Load func() ffmesh.Load
	// OnHeartbeat is called for each heartbeat that is newer than the last one of its VM.
	OnHeartbeat func(vm netip.Addr, h Heartbeat)
	// Pool returns the connection pool of a VM's daemon.
	Pool func(vm netip.Addr) *ffhop.Pool
	Log  zerolog.Logger

	conn     *net.UDPConn
	sequence atomic.Uint64
	leaving  atomic.Bool
	pulls    chan netip.Addr

	mu       sync.Mutex
	schedule ffpartner.Schedule
}

// Run exchanges heartbeats and snapshots until ctx ends. It fails when the address
// for heartbeats cannot be opened.
func (n *Node) Run(ctx context.Context) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(n.Listen))
	if err != nil {
		return &Error{Op: "listen for heartbeats", Kind: KindListen, Err: err}
	}
	n.conn = conn
	n.pulls = make(chan netip.Addr, maxPendingPulls)
	n.Reader.Others, n.Reader.HeardAt = n.members, n.Peers.HeardAt
	n.Reader.OnList, n.Reader.OnNews, n.Reader.Fast = n.introduce, n.Spread, n.fast
	var wg sync.WaitGroup
	for _, task := range []func(context.Context){n.Reader.run, n.runHeartbeats, n.runPulls, n.runReceive} {
		wg.Go(func() { task(ctx) })
	}
	<-ctx.Done()
	_ = conn.Close()
	wg.Wait()
	return nil
}

// Leave announces to the others that the daemon is shutting down.
func (n *Node) Leave() {
	n.leaving.Store(true)
	n.send(n.targets())
}

// Spread sends a heartbeat at once: to all peers in a small fleet, and to a random
// sample in a large one. Peers that pull the change spread it further.
func (n *Node) Spread() {
	vms := n.targets()
	if len(vms) > maxSpreadAll {
		rand.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
		vms = vms[:spreadSample]
	}
	n.send(vms)
}

// hearers returns the other daemons, which hear of news: also those that are stopping.
func (n *Node) hearers() []ffdelegate.Member {
	others := n.Peers.Others(n.Listen.Addr(), n.State.Fleet().All())
	return append(others, n.Peers.Stopping(time.Now())...)
}

// members returns the other daemons of the fleet that are not leaving, and of all
// daemons those on the VMs of listed targets.
func (n *Node) members() (others, listed []ffdelegate.Member) {
	targets := n.State.Fleet().All()
	return n.Peers.Others(n.Listen.Addr(), targets), n.Peers.Listed(targets)
}

// fast reports whether the link of vm is a fast one, and whether that is known.
func (n *Node) fast(vm netip.Addr) (fast, known bool) {
	rate, others := n.Peers.Links(vm)
	if vm == n.Listen.Addr() {
		rate = n.Load().Link
	}
	return ffdelegate.FastLink(rate, others), rate > 0
}

// introduce makes this daemon known to those on the VMs of targets. A daemon that has
// a snapshot answers at once.
func (n *Node) introduce(targets []fffleet.Target) {
	members := make([]ffdelegate.Member, 0, len(targets))
	for _, t := range targets {
		members = append(members, ffdelegate.Member{VM: t.VM(), DataCentre: t.DataCentre})
	}
	n.Peers.Introduce(members)
	n.Spread()
}

// targets returns the other VMs to send heartbeats to.
func (n *Node) targets() []netip.Addr {
	hearers := n.hearers()
	vms := make([]netip.Addr, 0, len(hearers))
	for _, m := range hearers {
		vms = append(vms, m.VM)
	}
	return vms
}

// Called records a call of the entry on vm to this VM's gate.
func (n *Node) Called(vm netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.schedule.Called(vm, time.Now())
}

// runHeartbeats sends a round of heartbeats at each interval.
func (n *Node) runHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(ffpartner.Interval)
	defer ticker.Stop()
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	for {
		_ = contain(&n.Log, "send heartbeats", func() { n.sendRound(n.nextRound(rng)) })
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// nextRound returns the heartbeats of the next round.
func (n *Node) nextRound(rng *rand.Rand) []ffpartner.Heartbeat {
	now := time.Now()
	n.Peers.Forget(now)
	hearers := n.hearers()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.schedule.Next(hearers, n.DataCentre, now, rng)
}

// heartbeat returns a heartbeat to a peer that gets the next one after every.
func (n *Node) heartbeat(every time.Duration) Heartbeat {
	w := n.State.Snapshot()
	h := Heartbeat{
		DataCentre: n.DataCentre, Incarnation: n.Incarnation,
		Sequence: n.sequence.Add(1), Leaving: n.leaving.Load(), Load: n.Load(), Every: every,
	}
	if !w.ConfirmedAt.IsZero() {
		h.Revision, h.Age, h.Digest = w.Revision, time.Since(w.ConfirmedAt), n.digest()
		h.ReadBy = n.Reader.ReadBy()
	}
	return h
}

// digest identifies the content without the targets that only this daemon retains
// after an outage of the store.
func (n *Node) digest() string {
	_, fleet := n.State.Listed()
	w := *n.State.Snapshot()
	w.Fleet = fleet
	return w.Digest()
}

// send sends a heartbeat to each of vms, outside of the rounds.
func (n *Node) send(vms []netip.Addr) {
	n.sendRound(n.unplanned(vms))
}

// unplanned returns heartbeats to vms outside of the rounds.
func (n *Node) unplanned(vms []netip.Addr) []ffpartner.Heartbeat {
	n.mu.Lock()
	defer n.mu.Unlock()
	round := make([]ffpartner.Heartbeat, 0, len(vms))
	for _, vm := range vms {
		round = append(round, ffpartner.Heartbeat{VM: vm, Every: n.schedule.Planned(vm)})
	}
	return round
}

// sendRound sends heartbeats, and encodes those with the same plan once.
func (n *Node) sendRound(round []ffpartner.Heartbeat) {
	encoded := make(map[time.Duration][]byte)
	failed := 0
	for _, to := range round {
		b, ok := encoded[to.Every]
		if !ok {
			var err error
			if b, err = cbor.Marshal(n.heartbeat(to.Every)); err != nil {
				n.Log.Error().Err(err).Msg("failed to encode a heartbeat")
				return
			}
			encoded[to.Every] = b
		}
		if _, err := n.conn.WriteToUDPAddrPort(b, netip.AddrPortFrom(to.VM, n.Listen.Port())); err != nil {
			failed++
		}
	}
	if failed > 0 {
		n.Log.Debug().Int("failed", failed).Msg("failed to send heartbeats")
	}
}
