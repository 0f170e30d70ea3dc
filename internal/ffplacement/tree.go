package ffplacement

import "fireflyfall.dev/fireflyfall/internal/ffmember"

// Roots returns the VMs of an order to which whoever brings something new into
// the data centre announces it.
func Roots(order []ffmember.VM) []ffmember.VM { return order[:min(FanOut, len(order))] }

// Children returns the VMs of an order to which self announces what it has got.
// The order forms FanOut trees: the VM at position i has the positions from
// FanOut*(i+1) on as children. A VM that is not in the order has none.
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
