package ffdistribution

import (
	"sync/atomic"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffplacement"
)

// standbyCount is the number of daemons next to the readers that watch over them.
const standbyCount = 3

// role tells which of the platform's values this daemon reads.
type role struct {
	manifest, list bool
}

// readers remembers the readers and standbys of this data centre for one view.
type readers struct {
	latest atomic.Pointer[readersOfView]
}

type readersOfView struct {
	view  *ffmember.View
	order []ffmember.VM
}

// readerOrder returns the readers of this data centre and then their standbys,
// by this daemon's own view.
func (n *Node) readerOrder() []ffmember.VM {
	view := n.Members.View()
	if known := n.readers.latest.Load(); known != nil && known.view == view {
		return known.order
	}
	order := n.readersOf(view, n.Self.DataCentre, ffplacement.ReaderCount+standbyCount)
	n.readers.latest.Store(&readersOfView{view: view, order: order})
	return order
}

func (n *Node) readersOf(view *ffmember.View, dataCentre string, count int) []ffmember.VM {
	return ffplacement.FavouredReaders(reachable(view, dataCentre), dataCentre, count, n.Budget.Fraction())
}

// role works out whether this daemon is among the readers of its data centre.
func (n *Node) role() role {
	order := n.readerOrder()
	for i, vm := range order[:min(len(order), ffplacement.ReaderCount)] {
		if vm.Name == n.Self.Name {
			return role{manifest: true, list: i == 0}
		}
	}
	return role{manifest: len(order) == 0, list: len(order) == 0}
}

// before returns the readers and standbys before this daemon in their order;
// none when it is neither.
func (n *Node) before() []ffmember.VM {
	order := n.readerOrder()
	for i, vm := range order {
		if vm.Name == n.Self.Name {
			return order[:i]
		}
	}
	return nil
}

// reachable returns the live VMs of a data centre that answered lately, as far
// as this daemon knows. The caller must not change the slice.
func reachable(view *ffmember.View, dataCentre string) []ffmember.VM {
	vms := view.InDataCentre(dataCentre)
	if !view.HasSuspects() {
		return vms
	}
	reachable := make([]ffmember.VM, 0, len(vms))
	for _, vm := range vms {
		if !view.Suspect(vm.Name) {
			reachable = append(reachable, vm)
		}
	}
	return reachable
}
