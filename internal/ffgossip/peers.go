package ffgossip

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Peer is the state of another daemon according to its heartbeats.
type Peer struct {
	VM         netip.Addr
	ReceivedAt time.Time
	// LiveUntil is when the daemon no longer counts as live.
	LiveUntil     time.Time
	LastHeartbeat Heartbeat
}

// Peers holds the daemons from which heartbeats were received. The zero value is
// empty.
type Peers struct {
	mu    sync.Mutex
	peers map[netip.Addr]*Peer
}

// forgetAfter is how long after its last heartbeat a daemon is kept.
const forgetAfter = 30 * time.Second

// Record records a heartbeat and reports whether it is newer than the last one of the
// same daemon.
func (p *Peers) Record(vm netip.Addr, h Heartbeat, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers == nil {
		p.peers = make(map[netip.Addr]*Peer)
	}
	known, ok := p.peers[vm]
	if ok && known.LastHeartbeat.Incarnation == h.Incarnation && h.Sequence <= known.LastHeartbeat.Sequence {
		return false
	}
	p.peers[vm] = &Peer{VM: vm, ReceivedAt: now, LiveUntil: h.SilentAt(now), LastHeartbeat: h}
	return true
}

// Get returns the state of the daemon on a VM.
func (p *Peers) Get(vm netip.Addr) (Peer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, ok := p.peers[vm]
	if !ok {
		return Peer{}, false
	}
	return *known, true
}

// Known returns the addresses of the known daemons, and removes those without a
// heartbeat for longer than forgetAfter.
func (p *Peers) Known(now time.Time) []netip.Addr {
	p.mu.Lock()
	defer p.mu.Unlock()
	var vms []netip.Addr
	for vm, peer := range p.peers {
		if now.Sub(peer.ReceivedAt) > forgetAfter {
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

// Rank returns the rank of the daemon self in the order of readers, from 0. The
// order covers the live daemons that are not leaving and, of those presumed live,
// the ones from which no heartbeat is known. It is by hash, with the first daemon of
// each data centre before the second of any.
func (p *Peers) Rank(self Member, presumed []Member, now time.Time) int {
	members := []Member{self}
	p.mu.Lock()
	for _, peer := range p.peers {
		if now.Before(peer.LiveUntil) && !peer.LastHeartbeat.Leaving {
			members = append(members, Member{VM: peer.VM, DataCentre: peer.LastHeartbeat.DataCentre})
		}
	}
	for _, m := range presumed {
		if _, known := p.peers[m.VM]; !known {
			members = append(members, m)
		}
	}
	p.mu.Unlock()
	return rankOf(self, members)
}

// ranked is a member with its sort keys.
type ranked struct {
	member Member
	hash   uint64
	// round is the number of members of the same data centre with a smaller hash.
	round int
}

func rankOf(self Member, members []Member) int {
	order := make([]ranked, 0, len(members))
	seen := make(map[netip.Addr]bool, len(members))
	for _, m := range members {
		if !seen[m.VM] {
			seen[m.VM] = true
			order = append(order, ranked{member: m, hash: xxhash.Sum64(m.VM.AsSlice())})
		}
	}
	slices.SortFunc(order, func(a, b ranked) int { return cmp.Compare(a.hash, b.hash) })
	counts := make(map[string]int)
	for i, o := range order {
		order[i].round = counts[o.member.DataCentre]
		counts[o.member.DataCentre]++
	}
	slices.SortStableFunc(order, func(a, b ranked) int { return cmp.Compare(a.round, b.round) })
	return slices.IndexFunc(order, func(o ranked) bool { return o.member.VM == self.VM })
}
