package ffplacement

import "fireflyfall.dev/fireflyfall/internal/ffmember"

// Roots returns the root VMs of the announcement tree over order. The daemon
// that receives an update from outside the data centre announces it to them.
func Roots(order []ffmember.VM) []ffmember.VM { return order[:min(FanOut, len(order))] }

// Children returns the VMs to which self forwards an announcement. The order
// forms FanOut trees: the children of the VM at position i are the up to FanOut
// VMs from position FanOut*(i+1). A VM that is not in the order has none.
func Children(self string, order []ffmember.VM) []ffmember.VM {
	for i, vm := range order {
		if vm.Name == self {
			return childrenAt(i, order)
		}
	}
	return nil
}

func childrenAt(i int, order []ffmember.VM) []ffmember.VM {
	first := min(FanOut*(i+1), len(order))
	return order[first:min(first+FanOut, len(order))]
}
