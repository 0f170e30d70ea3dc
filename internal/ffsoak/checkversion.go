package ffsoak

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// peerLead is how long before the start of a daemon a peer must have reported a
// version for the daemon to be expected to have it.
const peerLead = 500 * time.Millisecond

// checkNeverOlder checks that no daemon reverts to an older version: by the order of its audit
// trail, by its statuses, and by the versions that its callers were served from.
func checkNeverOlder(x *index) Finding {
	f := Finding{Promise: PromiseNeverOlder}
	for _, p := range x.Processes {
		x.checkTrail(&f, p)
		x.checkServed(&f, p)
		x.checkStartPeers(&f, p)
	}
	for _, vm := range x.VMs {
		x.checkStatuses(&f, x.samples[vm.Name])
	}
	hadFault := slices.ContainsFunc(x.Faults, func(f InjectedFault) bool {
		return f.Kind.ofPlatform() || f.Kind.ofLink() || f.Kind.ofProcess()
	})
	advanced := slices.ContainsFunc(x.Processes, func(p Process) bool { return len(p.Applied) > 1 })
	f.exercised(hadFault && advanced)
	return f
}

func (x *index) checkTrail(f *Finding, p Process) {
	for i := 1; i < len(p.Applied); i++ {
		before, after := x.byVersion[p.Applied[i-1]], x.byVersion[p.Applied[i]]
		if before != nil && after != nil && !after.Version.NewerThan(before.Version) {
			f.violated(fmt.Sprintf("the daemon of %s applied %s after %s", p.VM, p.Applied[i], p.Applied[i-1]), line("process", p))
		}
	}
}

func (x *index) checkStatuses(f *Finding, samples []Sample) {
	latest := make(map[uint64]Sample)
	for _, s := range samples {
		before, ok := latest[s.Incarnation]
		if ok && before.Version.NewerThan(s.Version) {
			f.violated("the daemon of "+s.VM+" showed an older version than before", line("before", before), line("after", s))
		}
		latest[s.Incarnation] = s
	}
}

// checkServed checks the versions that the calls to one process were served from.
func (x *index) checkServed(f *Finding, p Process) {
	var served []*Call
	for i := range x.Calls {
		c := &x.Calls[i]
		if c.Entry == p.VM && x.byVersion[c.Version] != nil && c.Started.After(p.Started) && (p.Ended.IsZero() || c.Ended.Before(p.Ended)) {
			served = append(served, c)
		}
	}
	byEnd := slices.Clone(served)
	slices.SortFunc(byEnd, func(a, b *Call) int { return a.Ended.Compare(b.Ended) })
	slices.SortFunc(served, func(a, b *Call) int { return a.Started.Compare(b.Started) })
	var newest *Call
	next := 0
	for _, c := range served {
		for next < len(byEnd) && byEnd[next].Ended.Before(c.Started) {
			if newest == nil || x.byVersion[byEnd[next].Version].Version.NewerThan(x.byVersion[newest.Version].Version) {
				newest = byEnd[next]
			}
			next++
		}
		if newest != nil && x.byVersion[newest.Version].Version.NewerThan(x.byVersion[c.Version].Version) {
			f.violated("the daemon of "+p.VM+" served a call from an older version than before", line("before", newest), line("after", c))
		}
	}
}

// checkStartPeers checks that a started daemon does not become ready with an
// older version than a reachable peer of its data centre had, since a daemon
// must ask its peers at start.
func (x *index) checkStartPeers(f *Finding, p Process) {
	first, ok := x.firstReady(p)
	if !ok {
		return
	}
	for _, vm := range x.VMs {
		if vm.Name == p.VM || vm.DataCentre != x.vms[p.VM].DataCentre || !x.faultFree(vm.Name, p.Started.Add(-peerLead), first.At) {
			continue
		}
		known, ok := x.lastBefore(vm.Name, p.Started.Add(-peerLead))
		if ok && known.Ready && known.Version.NewerThan(first.Version) {
			f.violated("the started daemon of "+p.VM+" was ready with an older version than its peer had", line("peer", known), line("started", first), line("process", p))
		}
	}
	x.checkStartPlatform(f, p, first)
}

// checkStartPlatform checks the same against the platform, if the platform had
// no fault meanwhile.
func (x *index) checkStartPlatform(f *Finding, p Process, first Sample) {
	if !x.platformWhole(x.vms[p.VM].DataCentre, p.Started, first.At) {
		return
	}
	var newest *Publication
	for i := range x.Publications {
		if x.Publications[i].At.Before(p.Started) {
			newest = &x.Publications[i]
		}
	}
	if newest != nil && !newest.Faulty && newest.Version.NewerThan(first.Version) {
		f.violated("the started daemon of "+p.VM+" was ready with an older version than the platform had", line("published", newest.Version), line("started", first), line("process", p))
	}
}

// platformWhole reports whether no fault affected a data centre's access to the
// platform between two times.
func (x *index) platformWhole(dataCentre string, from, to time.Time) bool {
	return !slices.ContainsFunc(x.Faults, func(f InjectedFault) bool {
		return f.Kind.ofPlatform() && (f.From == "" || f.From == dataCentre) && f.overlaps(from, to)
	})
}

func (x *index) firstReady(p Process) (Sample, bool) {
	for _, s := range x.samples[p.VM] {
		if s.Ready && s.Asked.After(p.Started) && (p.Ended.IsZero() || s.At.Before(p.Ended)) {
			return s, true
		}
	}
	return Sample{}, false
}

func (x *index) lastBefore(vm string, at time.Time) (Sample, bool) {
	samples := x.samples[vm]
	i, _ := slices.BinarySearchFunc(samples, at, func(s Sample, at time.Time) int { return cmp.Or(s.Asked.Compare(at), 1) })
	if i == 0 {
		return Sample{}, false
	}
	return samples[i-1], true
}

// faultFree reports whether no fault affected the VM between two times.
func (x *index) faultFree(vm string, from, to time.Time) bool {
	return !slices.ContainsFunc(x.Faults, func(f InjectedFault) bool { return f.overlaps(from, to) && x.affectsVM(f, vm) })
}
