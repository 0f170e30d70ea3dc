package ffmember

import (
	"maps"
	"slices"
)

// VMs returns the entries, by name.
func (l *List) VMs() []VM {
	vms := slices.Collect(maps.Values(l.byName))
	sortByName(vms)
	return vms
}

// Present returns the VMs that are not gone, by name.
func (v *View) Present() []VM {
	v.build()
	vms := slices.Collect(maps.Values(v.index.byName))
	sortByName(vms)
	return vms
}
