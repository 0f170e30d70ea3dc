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

// Limits on the division of a data centre into cells.
const (
	// minCellDaemons is the minimum average number of daemons in a cell.
	minCellDaemons = 64
	// minCellCalls is the minimum rate per second, and the minimum concurrency, of a cell.
	minCellCalls = 128
)

// cell is the part of a data centre whose daemons share an allocator for a customer.
type cell struct {
	name  string
	share float64
	// dataCentre, an index in Fleet.dataCentres, shard and shards determine which nodes
	// belong to the cell.
	dataCentre int
	shard      uint64
	shards     uint64
	rank       uint64
}

// cells returns the cells of a customer, ordered by a hash of customer and cell name.
// Each data centre has an equal share.
func (f *Fleet) cells(c *ffconfig.Contract) []cell {
	var cells []cell
	for i := range f.dataCentres {
		shards := f.shards(i, c)
		for shard := range shards {
			name := f.dataCentres[i].name + "/" + strconv.FormatUint(shard, 10)
			cells = append(cells, cell{
				name:       name,
				share:      1 / float64(len(f.dataCentres)) / float64(shards),
				dataCentre: i,
				shard:      shard,
				shards:     shards,
				rank:       xxhash.Sum64String(c.Customer + "\x00" + name),
			})
		}
	}
	slices.SortFunc(cells, func(a, b cell) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.name, b.name)) })
	return cells
}

// shards returns the number of cells of a data centre, a power of two.
func (f *Fleet) shards(dataCentre int, c *ffconfig.Contract) uint64 {
	calls := min(c.RatePerSecond, float64(c.Concurrency)) / float64(len(f.dataCentres))
	n := min(f.dataCentres[dataCentre].listed/minCellDaemons, int(calls/minCellCalls))
	return 1 << (bits.Len(uint(max(n, 1))) - 1)
}

// contains reports whether a node of the cell's data centre belongs to the cell.
func (c *cell) contains(n *node) bool { return n.hash%c.shards == c.shard }

// allocator returns the VM that allocates for the cell: the first live one by
// rendezvous hash of the customer. It returns false if the cell has no live VM.
func (f *Fleet) allocator(c *cell, customer string) (ffmember.VM, bool) {
	var chosen *node
	var highest uint64
	for i := range f.dataCentres[c.dataCentre].nodes {
		n := &f.dataCentres[c.dataCentre].nodes[i]
		if !n.live || !c.contains(n) {
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
	nodes := f.dataCentres[c.dataCentre].nodes
	self := slices.IndexFunc(nodes, func(n node) bool { return n.vm.Name == f.self })
	if self >= 0 && nodes[self].listed {
		position = 0
	}
	for i := range nodes {
		if !nodes[i].listed || !c.contains(&nodes[i]) {
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
func (f *Fleet) ownCell(cells []cell) int {
	self := node{hash: xxhash.Sum64String(f.self)}
	return slices.IndexFunc(cells, func(c cell) bool {
		return f.dataCentres[c.dataCentre].name == f.dataCentre && c.contains(&self)
	})
}

// allocatesSince returns the time since which self has continuously regarded itself
// as the allocator of the cell.
func (f *Fleet) allocatesSince(contract *ffconfig.Contract, name string) time.Time {
	since := f.effectiveAt
	for ; f != nil && f.allocates(contract, name); f = f.previous {
		since = f.effectiveAt
	}
	return since
}

// allocatedRecently reports whether self regards itself as the allocator of the cell,
// or did so within the time in which other daemons may still regard it as such.
func (f *Fleet) allocatedRecently(contract *ffconfig.Contract, name string) bool {
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
