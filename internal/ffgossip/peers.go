package ffgossip

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffdelegate"
	"fireflyfall.dev/fireflyfall/internal/fffleet"
)

// Peer is the state of another daemon according to its heartbeats.
type Peer struct {
	VM            netip.Addr
	ReceivedAt    time.Time
	LastHeartbeat Heartbeat
}

// Peers holds the daemons from which heartbeats were received. The zero value is
// empty.
type Peers struct {
	mu         sync.Mutex
	peers      map[netip.Addr]*Peer
	introduced []ffdelegate.Member
	heardAt    time.Time
}

const (
	// forgetAfter is how long after its last heartbeat a daemon is kept.
	forgetAfter = 30 * time.Second
	// maxStopTime is how long after its last heartbeat a daemon that is leaving may
	// still run.
	maxStopTime = 10 * time.Second
)

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
	p.peers[vm] = &Peer{VM: vm, ReceivedAt: now, LastHeartbeat: h}
	p.heardAt = now
	return true
}

// HeardAt returns when the last heartbeat arrived.
func (p *Peers) HeardAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.heardAt
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

// Links returns the rates in bytes per second of the link of the daemon on vm and of those
// of all others; 0 where it is not known.
func (p *Peers) Links(vm netip.Addr) (own int64, others []int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for other, peer := range p.peers {
		if other == vm {
			own = peer.LastHeartbeat.Load.Link
			continue
		}
		others = append(others, peer.LastHeartbeat.Load.Link)
	}
	return own, others
}

// Forget removes the daemons without a heartbeat for longer than forgetAfter.
func (p *Peers) Forget(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for vm, peer := range p.peers {
		if now.Sub(peer.ReceivedAt) > forgetAfter {
			delete(p.peers, vm)
		}
	}
}

// Introduce records the daemons that probably exist according to an outdated list.
func (p *Peers) Introduce(members []ffdelegate.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.introduced = members
}

// Others returns the daemons other than self on the VMs of targets, or those introduced
// if there are no targets, and the known ones. Daemons that are leaving are left out.
func (p *Peers) Others(self netip.Addr, targets []fffleet.Target) []ffdelegate.Member {
	all := p.Listed(targets)
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := map[netip.Addr]bool{self: true}
	for _, m := range all {
		seen[m.VM] = true
	}
	for vm, peer := range p.peers {
		if !seen[vm] && !peer.LastHeartbeat.Leaving {
			all = append(all, ffdelegate.Member{VM: vm, DataCentre: peer.LastHeartbeat.DataCentre})
		}
	}
	return slices.DeleteFunc(all, func(m ffdelegate.Member) bool { return m.VM == self })
}

// Stopping returns the daemons that are leaving and probably still run: they take
// requests until they end.
func (p *Peers) Stopping(now time.Time) []ffdelegate.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	var members []ffdelegate.Member
	for vm, peer := range p.peers {
		if peer.LastHeartbeat.Leaving && now.Sub(peer.ReceivedAt) < maxStopTime {
			members = append(members, ffdelegate.Member{VM: vm, DataCentre: peer.LastHeartbeat.DataCentre})
		}
	}
	return members
}

// Listed returns the daemons on the VMs of targets, or those introduced if there are no
// targets. Daemons that are leaving are left out.
func (p *Peers) Listed(targets []fffleet.Target) []ffdelegate.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	members := make([]ffdelegate.Member, 0, max(len(targets), len(p.introduced)))
	for _, t := range targets {
		members = append(members, ffdelegate.Member{VM: t.VM(), DataCentre: t.DataCentre})
	}
	if len(targets) == 0 {
		members = append(members, p.introduced...)
	}
	seen := make(map[netip.Addr]bool, len(members))
	return slices.DeleteFunc(members, func(m ffdelegate.Member) bool {
		known := p.peers[m.VM]
		repeated := seen[m.VM]
		seen[m.VM] = true
		return repeated || known != nil && known.LastHeartbeat.Leaving
	})
}
