// Package ffplacement decides by rendezvous hashing which daemons read the
// platform, how a version is distributed among the daemons of a data centre, and
// which daemon allocates a customer's limits. Each daemon computes the placement
// from its own view of the fleet; differing views increase the cost but do not
// affect correctness.
package ffplacement

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
)

const (
	// ReaderCount is the number of daemons of a data centre that watch the platform.
	ReaderCount = 3
	// FanOut is the number of roots, and the maximum number of children of each
	// daemon, in the announcement trees.
	FanOut = 8
)

// scored is a VM with its rendezvous weight for one key.
type scored struct {
	vm     ffmember.VM
	weight uint64
}

func (s scored) compare(other scored) int {
	return cmp.Or(cmp.Compare(other.weight, s.weight), cmp.Compare(s.vm.Name, other.vm.Name))
}

// Order returns vms in the rendezvous order of the key, the highest weight first.
func Order(key string, vms []ffmember.VM) []ffmember.VM {
	all := make([]scored, len(vms))
	for i, vm := range vms {
		all[i] = scored{vm: vm, weight: weight(key, vm.Name)}
	}
	slices.SortFunc(all, scored.compare)
	ordered := make([]ffmember.VM, len(all))
	for i, s := range all {
		ordered[i] = s.vm
	}
	return ordered
}

// First returns the first n of vms in the rendezvous order of the key, without sorting the rest.
func First(key string, vms []ffmember.VM, n int) []ffmember.VM {
	best := make([]scored, 0, n+1)
	for _, vm := range vms {
		s := scored{vm: vm, weight: weight(key, vm.Name)}
		at, _ := slices.BinarySearchFunc(best, s, scored.compare)
		if at >= n {
			continue
		}
		best = slices.Insert(best, at, s)
		best = best[:min(len(best), n)]
	}
	first := make([]ffmember.VM, len(best))
	for i, s := range best {
		first[i] = s.vm
	}
	return first
}

// Readers returns the n VMs of a data centre whose daemons watch the platform,
// in rendezvous order. vms are the live VMs of the data centre.
func Readers(vms []ffmember.VM, dataCentre string, n int) []ffmember.VM {
	return First("reader/"+dataCentre, vms, n)
}

// Allocator returns the VM whose daemon divides a customer's limits within a
// data centre, and false if vms is empty. vms are the live VMs of the data centre.
func Allocator(vms []ffmember.VM, customer, dataCentre string) (ffmember.VM, bool) {
	first := First("allocator/"+dataCentre+"/"+customer, vms, 1)
	if len(first) == 0 {
		return ffmember.VM{}, false
	}
	return first[0], true
}

// weight returns the rendezvous weight of a VM name for a key.
func weight(key, name string) uint64 {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], xxhash.Sum64String(key))
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(seed[:])
	_, _ = d.WriteString(name)
	return d.Sum64()
}
