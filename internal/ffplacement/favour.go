package ffplacement

import (
	"math"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
)

// Favoured reports whether the daemon of a VM belongs to the given fraction of
// the fleet that has the larger share of the platform's rate limit. It depends
// on the VM's name alone, so that an outdated view cannot increase the number
// of favoured daemons.
func Favoured(name string, fraction float64) bool {
	return float64(weight("favoured", name)) < fraction*math.MaxUint64
}

// FavouredReaders returns the n VMs of a data centre whose daemons watch the
// platform. Favoured VMs come first; others are used only if there are too few.
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
