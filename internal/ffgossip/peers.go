package ffgossip

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Peer is another daemon as its heartbeats show it.
type Peer struct {
	VM    netip.Addr
	Heard time.Time
	// Until is when the daemon no longer counts as live.
	Until time.Time
	Last  Heartbeat
}

// Peers holds the daemons that were heard of. The zero value knows none.
type Peers struct {
	mu    sync.Mutex
	peers map[netip.Addr]*Peer
}

// forgetAfter is how long a silent daemon is remembered.
const forgetAfter = 30 * time.Second

// Hear takes up a heartbeat and reports whether it is news of its daemon.
func (p *Peers) Hear(vm netip.Addr, h Heartbeat, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers == nil {
		p.peers = make(map[netip.Addr]*Peer)
	}
	known, ok := p.peers[vm]
	if ok && known.Last.Incarnation == h.Incarnation && h.Sequence <= known.Last.Sequence {
		return false
	}
	p.peers[vm] = &Peer{VM: vm, Heard: now, Until: h.SilentAt(now), Last: h}
	return true
}

// Get returns what was last heard of a VM.
func (p *Peers) Get(vm netip.Addr) (Peer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, ok := p.peers[vm]
	if !ok {
		return Peer{}, false
	}
	return *known, true
}

// Known returns the addresses of the daemons that were heard of, and forgets
// those that are silent for long.
func (p *Peers) Known(now time.Time) []netip.Addr {
	p.mu.Lock()
	defer p.mu.Unlock()
	var vms []netip.Addr
	for vm, peer := range p.peers {
		if now.Sub(peer.Heard) > forgetAfter {
			delete(p.peers, vm)
			continue
		}
		vms = append(vms, vm)
	}
	return vms
}

// Member is a daemon in the order of readers.
type Member struct {
	VM         netip.Addr
	DataCentre string
}

// Place returns the place of the daemon self in the order of readers, among the
// live daemons and those presumed to be live although nothing was heard of them:
// by hash, with the first daemon of each data centre before the second of any.
func (p *Peers) Place(self Member, presumed []Member, now time.Time) int {
	members := []Member{self}
	p.mu.Lock()
	for _, peer := range p.peers {
		if now.Before(peer.Until) && !peer.Last.Leaving {
			members = append(members, Member{VM: peer.VM, DataCentre: peer.Last.DataCentre})
		}
	}
	for _, m := range presumed {
		if _, heard := p.peers[m.VM]; !heard {
			members = append(members, m)
		}
	}
	p.mu.Unlock()
	return placeOf(self, members)
}

// placed is a member with its part in the order.
type placed struct {
	member Member
	hash   uint64
	// round is the number of members of its data centre before it.
	round int
}

func placeOf(self Member, members []Member) int {
	order := make([]placed, 0, len(members))
	seen := make(map[netip.Addr]bool, len(members))
	for _, m := range members {
		if !seen[m.VM] {
			seen[m.VM] = true
			order = append(order, placed{member: m, hash: xxhash.Sum64(m.VM.AsSlice())})
		}
	}
	slices.SortFunc(order, func(a, b placed) int { return cmp.Compare(a.hash, b.hash) })
	rounds := make(map[string]int)
	for i, o := range order {
		order[i].round = rounds[o.member.DataCentre]
		rounds[o.member.DataCentre]++
	}
	slices.SortStableFunc(order, func(a, b placed) int { return cmp.Compare(a.round, b.round) })
	return slices.IndexFunc(order, func(o placed) bool { return o.member.VM == self.VM })
}
