package fflimit

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
)

// node is one VM of the fleet with the hash that determines its cell.
type node struct {
	vm     ffmember.VM
	hash   uint64
	listed bool
	live   bool
}

// dataCentre holds the nodes of one data centre. listed is the number of them that are
// in the platform's list.
type dataCentre struct {
	name   string
	listed int
	nodes  []node
}

// Fleet is a daemon's view of all daemons. It is immutable.
type Fleet struct {
	self        string
	dataCentre  string
	dataCentres []dataCentre
	// effectiveAt is the time since which the view has been in effect.
	effectiveAt time.Time
	previous    *Fleet
}

// NewFleet returns the fleet as the daemon on VM self sees it. The platform's list
// alone determines how many data centres and daemons divide a contract, so that the
// two sides of a network partition do not each use the other's quota. live, which
// also includes direct evidence, determines which daemons may allocate. If listed is
// empty, live is used in its place.
func NewFleet(self, dataCentre string, listed, live []ffmember.VM) *Fleet {
	if len(listed) == 0 {
		listed = live
	}
	f := &Fleet{self: self, dataCentre: dataCentre}
	nodes := make(map[string]*node, len(listed))
	for _, vm := range listed {
		if vm.State != ffmember.StateGone {
			nodes[vm.Name] = &node{vm: vm, hash: xxhash.Sum64String(vm.Name), listed: true}
		}
	}
	for _, vm := range live {
		if vm.State != ffmember.StateLive {
			continue
		}
		if nodes[vm.Name] == nil {
			nodes[vm.Name] = &node{vm: vm, hash: xxhash.Sum64String(vm.Name)}
		}
		nodes[vm.Name].live = true
	}
	f.groupByDataCentre(nodes)
	return f
}

// groupByDataCentre groups the nodes by data centre; a data centre without a listed
// node is left out.
func (f *Fleet) groupByDataCentre(nodes map[string]*node) {
	byName := make(map[string]*dataCentre)
	for _, n := range nodes {
		c := byName[n.vm.DataCentre]
		if c == nil {
			c = &dataCentre{name: n.vm.DataCentre}
			byName[n.vm.DataCentre] = c
		}
		if n.listed {
			c.listed++
		}
		c.nodes = append(c.nodes, *n)
	}
	for _, c := range byName {
		if c.listed == 0 {
			continue
		}
		slices.SortFunc(c.nodes, func(a, b node) int { return strings.Compare(a.vm.Name, b.vm.Name) })
		f.dataCentres = append(f.dataCentres, *c)
	}
	slices.SortFunc(f.dataCentres, func(a, b dataCentre) int { return cmp.Compare(a.name, b.name) })
}

// withHistory returns f as the successor of previous, in effect from now. Views that
// are older than every grant in use are dropped.
func (f *Fleet) withHistory(previous *Fleet, now time.Time) *Fleet {
	next := *f
	next.effectiveAt = now
	next.previous = previous.trimHistory(now.Add(-maxReservation))
	return &next
}

// trimHistory returns f without the predecessors that had been replaced by time t.
func (f *Fleet) trimHistory(t time.Time) *Fleet {
	if f == nil {
		return nil
	}
	kept := *f
	kept.previous = nil
	if f.effectiveAt.After(t) {
		kept.previous = f.previous.trimHistory(t)
	}
	return &kept
}
