package fflimit

import (
	"cmp"
	"math/bits"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// How finely a data centre is divided into cells.
const (
	// minCellDaemons is the least average number of daemons in a cell.
	minCellDaemons = 64
	// minCellCalls is the least rate a second, and the least concurrency, of a cell.
	minCellCalls = 128
)

// cell is the part of a data centre whose daemons share an allocator for a customer.
type cell struct {
	name  string
	share float64
	// centre, shard and shards tell which nodes belong to the cell.
	centre int
	shard  uint64
	shards uint64
	rank   uint64
}

// cells returns the cells of a customer in the customer's own order. Each data
// centre has an equal share.
func (f *Fleet) cells(c *ffconfig.Contract) []cell {
	var all []cell
	for i := range f.centres {
		shards := f.shards(i, c)
		for shard := range shards {
			name := f.centres[i].name + "/" + strconv.FormatUint(shard, 10)
			all = append(all, cell{
				name:   name,
				share:  1 / float64(len(f.centres)) / float64(shards),
				centre: i,
				shard:  shard,
				shards: shards,
				rank:   xxhash.Sum64String(c.Customer + "\x00" + name),
			})
		}
	}
	slices.SortFunc(all, func(a, b cell) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.name, b.name)) })
	return all
}

// shards returns the number of cells of a data centre, a power of two.
func (f *Fleet) shards(centre int, c *ffconfig.Contract) uint64 {
	calls := min(c.RatePerSecond, float64(c.Concurrency)) / float64(len(f.centres))
	n := min(f.centres[centre].listed/minCellDaemons, int(calls/minCellCalls))
	return 1 << (bits.Len(uint(max(n, 1))) - 1)
}

// has reports whether a node of the cell's data centre belongs to the cell.
func (c *cell) has(n *node) bool { return n.hash%c.shards == c.shard }

// allocator returns the VM that allocates for the cell: the first live one by
// rendezvous hash of the customer.
func (f *Fleet) allocator(c *cell, customer string) (ffmember.VM, bool) {
	var chosen *node
	var highest uint64
	for i := range f.centres[c.centre].nodes {
		n := &f.centres[c.centre].nodes[i]
		if !n.live || !c.has(n) {
			continue
		}
		if rank := nodeRank(customer, n); chosen == nil || rank > highest {
			chosen, highest = n, rank
		}
	}
	if chosen == nil {
		return ffmember.VM{}, false
	}
	return chosen.vm, true
}

func nodeRank(customer string, n *node) uint64 {
	return xxhash.Sum64String(customer + "\x00" + n.vm.Name)
}

// members returns the number of listed daemons in the cell, and the position of
// self among them by rendezvous hash; -1 when self is not listed.
func (f *Fleet) members(c *cell, customer string) (count, position int) {
	position = -1
	nodes := f.centres[c.centre].nodes
	self := slices.IndexFunc(nodes, func(n node) bool { return n.vm.Name == f.self })
	if self >= 0 && nodes[self].listed {
		position = 0
	}
	for i := range nodes {
		if !nodes[i].listed || !c.has(&nodes[i]) {
			continue
		}
		count++
		if position >= 0 && nodeRank(customer, &nodes[i]) > nodeRank(customer, &nodes[self]) {
			position++
		}
	}
	return count, position
}

// ownCell returns the index of the cell to which self belongs; -1 when its data
// centre is not listed.
func (f *Fleet) ownCell(all []cell) int {
	self := node{hash: xxhash.Sum64String(f.self)}
	return slices.IndexFunc(all, func(c cell) bool {
		return f.centres[c.centre].name == f.dataCentre && c.has(&self)
	})
}

// allocatesSince returns the time since which self has believed without a break
// that it allocates for the cell.
func (f *Fleet) allocatesSince(contract *ffconfig.Contract, name string) time.Time {
	since := f.at
	for ; f != nil && f.allocates(contract, name); f = f.previous {
		since = f.at
	}
	return since
}

// allocatedLately reports whether self has believed, within the time in which
// others may still believe it, that it allocates for the cell.
func (f *Fleet) allocatedLately(contract *ffconfig.Contract, name string) bool {
	for ; f != nil; f = f.previous {
		if f.allocates(contract, name) {
			return true
		}
	}
	return false
}

func (f *Fleet) allocates(contract *ffconfig.Contract, name string) bool {
	for _, c := range f.cells(contract) {
		if c.name == name {
			vm, ok := f.allocator(&c, contract.Customer)
			return ok && vm.Name == f.self
		}
	}
	return false
}
