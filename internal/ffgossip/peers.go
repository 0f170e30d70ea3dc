package ffgossip

import (
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

// place is a daemon's part in the order of readers.
type place struct {
	name, dataCentre string
	hash             uint64
}

// Place returns the place of the daemon self in the order of readers: by hash,
// with the first daemon of each data centre before the second of any.
func (p *Peers) Place(self, dataCentre string, now time.Time) int {
	order := []place{{self, dataCentre, xxhash.Sum64String(self)}}
	p.mu.Lock()
	for _, peer := range p.peers {
		if now.Before(peer.Until) && !peer.Last.Leaving && peer.Last.Name != self {
			order = append(order, place{peer.Last.Name, peer.Last.DataCentre, xxhash.Sum64String(peer.Last.Name)})
		}
	}
	p.mu.Unlock()
	slices.SortFunc(order, func(a, b place) int {
		if a.hash < b.hash {
			return -1
		}
		return 1
	})
	return placeOf(self, order)
}

func placeOf(self string, order []place) int {
	rounds := make(map[string]int)
	round := make(map[string]int, len(order))
	for _, o := range order {
		round[o.name] = rounds[o.dataCentre]
		rounds[o.dataCentre]++
	}
	n := 0
	for _, o := range order {
		if o.name == self {
			continue
		}
		if round[o.name] < round[self] || round[o.name] == round[self] && o.hash < hashOf(self, order) {
			n++
		}
	}
	return n
}

func hashOf(name string, order []place) uint64 {
	for _, o := range order {
		if o.name == name {
			return o.hash
		}
	}
	return 0
}
