package ffdistribution

import (
	"sync/atomic"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffplacement"
)

// standbyCount is the number of standbys per data centre: the daemons that follow
// the readers in the reader order and exchange with them often to detect failures.
const standbyCount = 3

// role specifies which of the platform's values this daemon reads.
type role struct {
	manifest, list bool
}

// readerCache caches the readers and standbys of this data centre for one view.
type readerCache struct {
	current atomic.Pointer[cachedReaders]
}

type cachedReaders struct {
	view  *ffmember.View
	order []ffmember.VM
}

// readerOrder returns the readers of this data centre followed by their standbys,
// according to this daemon's view.
func (n *Node) readerOrder() []ffmember.VM {
	view := n.Members.View()
	if cached := n.readerCache.current.Load(); cached != nil && cached.view == view {
		return cached.order
	}
	order := n.readersOf(view, n.Self.DataCentre, ffplacement.ReaderCount+standbyCount)
	n.readerCache.current.Store(&cachedReaders{view: view, order: order})
	return order
}

func (n *Node) readersOf(view *ffmember.View, dataCentre string, count int) []ffmember.VM {
	return ffplacement.FavouredReaders(reachable(view, dataCentre), dataCentre, count, n.Budget.FavouredFraction())
}

// role returns this daemon's role. All readers read the manifest; only the first
// reads the VM list. If no VM of the data centre is reachable, this daemon reads both.
func (n *Node) role() role {
	order := n.readerOrder()
	for i, vm := range order[:min(len(order), ffplacement.ReaderCount)] {
		if vm.Name == n.Self.Name {
			return role{manifest: true, list: i == 0}
		}
	}
	return role{manifest: len(order) == 0, list: len(order) == 0}
}

// precedingReaders returns the readers and standbys before this daemon in the
// reader order; nil if it is neither.
func (n *Node) precedingReaders() []ffmember.VM {
	order := n.readerOrder()
	for i, vm := range order {
		if vm.Name == n.Self.Name {
			return order[:i]
		}
	}
	return nil
}

// reachable returns the live VMs of a data centre that are not suspect in this
// view. The caller must not modify the slice.
func reachable(view *ffmember.View, dataCentre string) []ffmember.VM {
	vms := view.InDataCentre(dataCentre)
	if !view.HasSuspects() {
		return vms
	}
	reachable := make([]ffmember.VM, 0, len(vms))
	for _, vm := range vms {
		if !view.IsSuspect(vm.Name) {
			reachable = append(reachable, vm)
		}
	}
	return reachable
}
