package ffmember

import (
	"cmp"
	"slices"
)

// groups holds the live VMs, each slice sorted by name.
type groups struct {
	all          []VM
	byDataCentre map[string][]VM
	byService    map[string][]VM
}

func groupsOf(vms []VM) groups {
	g := groups{byDataCentre: make(map[string][]VM), byService: make(map[string][]VM)}
	sortByName(vms)
	for _, vm := range vms {
		if vm.State != StateLive {
			continue
		}
		g.all = append(g.all, vm)
		g.byDataCentre[vm.DataCentre] = append(g.byDataCentre[vm.DataCentre], vm)
		g.byService[vm.Service] = append(g.byService[vm.Service], vm)
	}
	return g
}

func sortByName(vms []VM) {
	slices.SortFunc(vms, func(a, b VM) int { return cmp.Compare(a.Name, b.Name) })
}

// regroup returns the group without the VMs that have evidence, plus the VMs of
// overlaid that belong to it, sorted by name.
func regroup(group []VM, evidence map[string]Evidence, overlaid []VM, belongs func(VM) bool) []VM {
	next := make([]VM, 0, len(group)+len(overlaid))
	for _, vm := range group {
		if _, ok := evidence[vm.Name]; !ok {
			next = append(next, vm)
		}
	}
	kept := len(next)
	for _, vm := range overlaid {
		if belongs(vm) {
			next = append(next, vm)
		}
	}
	if len(next) > kept {
		sortByName(next)
	}
	return next
}
