package ffplacement

import (
	"math"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
)

// Favoured reports whether the daemon of a VM belongs to the part of the fleet,
// fraction in size, that has the greater share of the platform's rate. It
// depends on the name alone, so that no wrong view makes more of them.
func Favoured(name string, fraction float64) bool {
	return float64(weight("favoured", name)) < fraction*math.MaxUint64
}

// FavouredReaders returns the n VMs of a data centre whose daemons watch the
// platform, the favoured ones first.
func FavouredReaders(vms []ffmember.VM, dataCentre string, n int, fraction float64) []ffmember.VM {
	favoured := make([]ffmember.VM, 0, len(vms))
	var others []ffmember.VM
	for _, vm := range vms {
		if Favoured(vm.Name, fraction) {
			favoured = append(favoured, vm)
		} else {
			others = append(others, vm)
		}
	}
	readers := Readers(favoured, dataCentre, n)
	return append(readers, Readers(others, dataCentre, n-len(readers))...)
}
