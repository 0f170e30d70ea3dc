package ffmember

import (
	"maps"
	"slices"
)

// VMs returns the entries, sorted by name.
func (l *List) VMs() []VM {
	vms := slices.Collect(maps.Values(l.byName))
	sortByName(vms)
	return vms
}

// Present returns the VMs that are not gone, sorted by name.
func (v *View) Present() []VM {
	names := maps.Clone(v.List().byName)
	if names == nil {
		names = make(map[string]VM)
	}
	for name, e := range v.evidence {
		names[name] = e.VM
	}
	var present []VM
	for name := range names {
		if vm, ok := v.VM(name); ok {
			present = append(present, vm)
		}
	}
	sortByName(present)
	return present
}

// Len returns the number of VMs that are not gone.
func (v *View) Len() int {
	n := v.List().countPresent()
	for name, e := range v.evidence {
		listed, ok := v.List().VM(name)
		if ok && listed.State != StateGone {
			n--
		}
		if e.State != StateGone {
			n++
		}
	}
	return n
}

// countPresent returns the number of entries that are not gone.
func (l *List) countPresent() int {
	n := 0
	for _, vm := range l.byName {
		if vm.State != StateGone {
			n++
		}
	}
	return n
}
