package ffsubset

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
)

const (
	// nearSize and farSize are the numbers of targets that an entry uses in its own
	// data centre and in others.
	nearSize = 12
	farSize  = 6
)

// Entry is the daemon that uses the targets.
type Entry struct {
	VM         netip.Addr
	DataCentre string
}

// Of returns the targets of serving that the entry uses: all if they are few. fleet
// holds all targets, whose VMs have an entry each.
func Of(e Entry, fleet fffleet.Fleet, serving []fffleet.Target) []fffleet.Target {
	if len(serving) <= nearSize+farSize {
		return serving
	}
	all := fleet.All()
	isNear := func(t fffleet.Target) bool { return t.DataCentre == e.DataCentre }
	near, far := split(serving, isNear)
	nearEntries, _ := split(all, isNear)
	used := arc(near, nearSize, position(e.VM, nearEntries))
	used = append(used, arc(far, nearSize+farSize-len(used), position(e.VM, all))...)
	if own := slices.IndexFunc(near, func(t fffleet.Target) bool { return t.VM() == e.VM }); own >= 0 && !slices.Contains(used, near[own]) {
		used = append(used, near[own])
	}
	return used
}

// split returns the targets for which first holds, and the others.
func split(targets []fffleet.Target, first func(fffleet.Target) bool) (a, b []fffleet.Target) {
	for _, t := range targets {
		if first(t) {
			a = append(a, t)
		} else {
			b = append(b, t)
		}
	}
	return a, b
}

// position returns the place of the entry on vm in a ring of all entries, as a fraction
// of the ring.
func position(vm netip.Addr, targets []fffleet.Target) float64 {
	own := hashOfVM(vm)
	before, entries := 0, 0
	seen := make(map[netip.Addr]bool, len(targets))
	for _, t := range targets {
		if seen[t.VM()] {
			continue
		}
		seen[t.VM()] = true
		entries++
		if hashOfVM(t.VM()) < own {
			before++
		}
	}
	if !seen[vm] {
		entries++
	}
	return float64(before) / float64(entries)
}

// arc returns n targets that follow each other on a ring of all, from a position on.
func arc(targets []fffleet.Target, n int, position float64) []fffleet.Target {
	ring := make([]placed, 0, len(targets))
	for i, t := range targets {
		ring = append(ring, placed{hash: xxhash.Sum64String(t.ID), index: i})
	}
	slices.SortFunc(ring, func(a, b placed) int { return cmp.Compare(a.hash, b.hash) })
	n = min(n, len(ring))
	used := make([]fffleet.Target, 0, n+1)
	first := int(position * float64(len(ring)))
	for i := range n {
		used = append(used, targets[ring[(first+i)%len(ring)].index])
	}
	return used
}

// placed is a target on a ring, by its index.
type placed struct {
	hash  uint64
	index int
}

func hashOfVM(vm netip.Addr) uint64 { return xxhash.Sum64(vm.AsSlice()) }
