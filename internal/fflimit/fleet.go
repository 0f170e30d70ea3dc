package fflimit

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
)

// node is one VM of the fleet with the hash that places it.
type node struct {
	vm     ffmember.VM
	hash   uint64
	listed bool
	live   bool
}

// centre is a data centre of the platform's list.
type centre struct {
	name   string
	listed int
	nodes  []node
}

// Fleet is what a daemon believes of all daemons. It is immutable.
type Fleet struct {
	self       string
	dataCentre string
	centres    []centre
	// at is the time since which the daemon has believed it.
	at       time.Time
	previous *Fleet
}

// NewFleet returns the fleet as the daemon on VM self sees it. The platform's
// list alone decides how many data centres and daemons divide a contract, so
// that two sides of a cut do not each take the other's part; live, which holds
// the direct evidence too, decides who may allocate. Without a list, live stands for it.
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
	f.arrange(nodes)
	return f
}

// arrange sorts the nodes into their data centres; one that nothing lists is left out.
func (f *Fleet) arrange(nodes map[string]*node) {
	byName := make(map[string]*centre)
	for _, n := range nodes {
		c := byName[n.vm.DataCentre]
		if c == nil {
			c = &centre{name: n.vm.DataCentre}
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
		f.centres = append(f.centres, *c)
	}
	slices.SortFunc(f.centres, func(a, b centre) int { return cmp.Compare(a.name, b.name) })
}

// following returns f as the successor of previous from a time on. What is older
// than every grant is forgotten.
func (f *Fleet) following(previous *Fleet, now time.Time) *Fleet {
	next := *f
	next.at = now
	next.previous = previous.since(now.Add(-holdTerm))
	return &next
}

// since returns f without the predecessors that f or a later one had replaced by a time.
func (f *Fleet) since(t time.Time) *Fleet {
	if f == nil {
		return nil
	}
	kept := *f
	kept.previous = nil
	if f.at.After(t) {
		kept.previous = f.previous.since(t)
	}
	return &kept
}
