package ffmember

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Limits on the evidence that a view holds.
const (
	// MaxEvidence is the maximum number of VMs for which a view holds evidence.
	MaxEvidence = 2048
	// MaxEvidenceLifetime is the maximum time until evidence expires.
	MaxEvidenceLifetime = 10 * time.Minute
	// MaxFieldBytes is the maximum length of each string of a VM in evidence, in bytes.
	MaxFieldBytes = 255
)

// View is one daemon's knowledge of all VMs, immutable: the platform's list,
// overlaid with evidence. The zero value is empty.
type View struct {
	list     *List
	evidence map[string]Evidence
	// suspects maps the VMs that did not respond to this daemon to the time at
	// which the suspicion expires. Suspicions stay local, so that a daemon cut
	// off by a network partition does not make others suspect its peers.
	suspects map[string]time.Time

	once   sync.Once
	groups groups
	digest uint64

	allOnce sync.Once
	all     []VM
}

// List returns the newest list from the platform, never nil.
func (v *View) List() *List {
	if v.list == nil {
		return &List{}
	}
	return v.list
}

// WithList returns the view with the list, or the view itself if the list is not newer.
func (v *View) WithList(l *List) *View {
	if !l.NewerThan(v.List()) {
		return v
	}
	return &View{list: l, evidence: v.evidence, suspects: v.suspects}
}

// WithEvidence returns the view with the evidence merged in, or the view itself
// if nothing changes. Evidence is ignored if at now it has expired or expires
// later than MaxEvidenceLifetime, or if its state, name or string lengths are invalid.
func (v *View) WithEvidence(now time.Time, all ...Evidence) *View {
	merged := maps.Clone(v.evidence)
	if merged == nil {
		merged = make(map[string]Evidence)
	}
	changed := false
	for _, e := range all {
		if !validEvidence(now, e) {
			continue
		}
		known, ok := merged[e.VM.Name]
		if ok && known.covers(e) {
			continue
		}
		if ok {
			e = known.merge(e)
		}
		merged[e.VM.Name] = e
		changed = true
	}
	if !changed {
		return v
	}
	evictExcess(merged)
	return &View{list: v.list, evidence: merged, suspects: v.suspects}
}

// validEvidence reports whether e may be stored at now.
func validEvidence(now time.Time, e Evidence) bool {
	if !e.Expires.After(now) || e.Expires.After(now.Add(MaxEvidenceLifetime)) {
		return false
	}
	if e.State < StateLive || e.State > StateGone || e.VM.Name == "" {
		return false
	}
	longest := max(len(e.VM.Name), len(e.VM.DataCentre), len(e.VM.Service), len(e.VM.PeerAddress), len(e.VM.ForwardAddress), len(e.VM.OperatorAddress))
	return longest <= MaxFieldBytes
}

// evictExcess removes evidence above MaxEvidence: the earliest to expire first,
// and at equal expiry by name.
func evictExcess(evidence map[string]Evidence) {
	if len(evidence) <= MaxEvidence {
		return
	}
	names := slices.SortedFunc(maps.Keys(evidence), func(a, b string) int {
		if c := evidence[a].Expires.Compare(evidence[b].Expires); c != 0 {
			return c
		}
		return compareVM(evidence[a].VM, evidence[b].VM)
	})
	for _, name := range names[:len(names)-MaxEvidence] {
		delete(evidence, name)
	}
}

// WithSuspect returns the view in which the VM is suspected, and thus avoided by
// this daemon, until the given time.
func (v *View) WithSuspect(name string, until time.Time) *View {
	suspects := maps.Clone(v.suspects)
	if suspects == nil {
		suspects = make(map[string]time.Time)
	}
	suspects[name] = until
	return &View{list: v.list, evidence: v.evidence, suspects: suspects}
}

// WithoutSuspect returns the view in which the VM is not suspected.
func (v *View) WithoutSuspect(name string) *View {
	if _, ok := v.suspects[name]; !ok {
		return v
	}
	suspects := maps.Clone(v.suspects)
	delete(suspects, name)
	return &View{list: v.list, evidence: v.evidence, suspects: suspects}
}

// WithoutExpired returns the view without the evidence and the suspicions that
// have expired at now, or the view itself if none has.
func (v *View) WithoutExpired(now time.Time) *View {
	evidence := maps.Clone(v.evidence)
	maps.DeleteFunc(evidence, func(_ string, e Evidence) bool { return !e.Expires.After(now) })
	suspects := maps.Clone(v.suspects)
	maps.DeleteFunc(suspects, func(_ string, until time.Time) bool { return !until.After(now) })
	if len(evidence) == len(v.evidence) && len(suspects) == len(v.suspects) {
		return v
	}
	return &View{list: v.list, evidence: evidence, suspects: suspects}
}

// Evidence returns all evidence, sorted by VM name.
func (v *View) Evidence() []Evidence {
	all := make([]Evidence, 0, len(v.evidence))
	for _, name := range slices.Sorted(maps.Keys(v.evidence)) {
		all = append(all, v.evidence[name])
	}
	return all
}

// Incarnation returns the latest incarnation of a VM, or zero if there is no evidence of it.
func (v *View) Incarnation(name string) Incarnation { return v.evidence[name].Incarnation }

// HasSuspects reports whether any VM is suspected, that is, did not respond to
// this daemon recently.
func (v *View) HasSuspects() bool { return len(v.suspects) > 0 }

// IsSuspect reports whether the VM is suspected.
func (v *View) IsSuspect(name string) bool {
	_, ok := v.suspects[name]
	return ok
}

// VM returns a VM by name, overlaid with its evidence, and false if it is unknown
// or gone.
func (v *View) VM(name string) (VM, bool) {
	vm, ok := v.List().VM(name)
	if e, found := v.evidence[name]; found {
		vm, ok = overlay(vm, e), true
	}
	return vm, ok && vm.State != StateGone
}

// AllLive returns the live VMs, sorted by name. The caller must not change the slice.
func (v *View) AllLive() []VM {
	v.allOnce.Do(v.buildAll)
	return v.all
}

// Live returns the live VMs of a service, sorted by name. The caller must not change the slice.
func (v *View) Live(service string) []VM {
	v.once.Do(v.build)
	return v.groups.byService[service]
}

// InDataCentre returns the live VMs of a data centre, sorted by name. The caller must not change the slice.
func (v *View) InDataCentre(dataCentre string) []VM {
	v.once.Do(v.build)
	return v.groups.byDataCentre[dataCentre]
}

// DataCentres returns the data centres that have a live VM, sorted.
func (v *View) DataCentres() []string {
	v.once.Do(v.build)
	return slices.Sorted(maps.Keys(v.groups.byDataCentre))
}

// EvidenceDigest returns a hash of all evidence.
func (v *View) EvidenceDigest() uint64 {
	v.once.Do(v.build)
	return v.digest
}

// build groups the live VMs and computes the evidence digest. Groups without
// evidence are shared with the list.
func (v *View) build() {
	base := v.List().liveGroups()
	v.groups.byDataCentre = maps.Clone(base.byDataCentre)
	v.groups.byService = maps.Clone(base.byService)
	overlaid := v.overlaid()
	dataCentres, services := make(map[string]bool), make(map[string]bool)
	for name, e := range v.evidence {
		v.digest += e.hash()
		listed, _ := v.List().VM(name)
		for _, vm := range []VM{listed, e.VM} {
			dataCentres[vm.DataCentre] = true
			services[vm.Service] = true
		}
	}
	for d := range dataCentres {
		v.replace(v.groups.byDataCentre, d, overlaid, func(vm VM) bool { return vm.DataCentre == d })
	}
	for s := range services {
		v.replace(v.groups.byService, s, overlaid, func(vm VM) bool { return vm.Service == s })
	}
}

// replace recomputes the group of key, and deletes it if it is empty.
func (v *View) replace(byKey map[string][]VM, key string, overlaid []VM, belongs func(VM) bool) {
	group := regroup(byKey[key], v.evidence, overlaid, belongs)
	if len(group) == 0 {
		delete(byKey, key)
		return
	}
	byKey[key] = group
}

// overlaid returns the VMs with evidence that are live after the overlay.
func (v *View) overlaid() []VM {
	var live []VM
	for name, e := range v.evidence {
		listed, _ := v.List().VM(name)
		if vm := overlay(listed, e); vm.State == StateLive {
			live = append(live, vm)
		}
	}
	return live
}

func (v *View) buildAll() {
	v.all = regroup(v.List().liveGroups().all, v.evidence, v.overlaid(), func(VM) bool { return true })
}

// overlay returns the VM as reported by its evidence, except that a listed state
// of leaving overrides live: the platform marks a VM as leaving before its daemon
// does, and the daemon's live evidence must not revert that.
func overlay(listed VM, e Evidence) VM {
	vm := e.VM
	vm.State = e.State
	if e.State == StateLive && listed.State == StateLeaving {
		vm.State = StateLeaving
	}
	return vm
}

// EvidenceOf returns the evidence of a VM, and false if there is none.
func (v *View) EvidenceOf(name string) (Evidence, bool) {
	e, ok := v.evidence[name]
	return e, ok
}

// WithoutEvidence returns the view with only the list, without evidence and suspicions.
func (v *View) WithoutEvidence() *View {
	if len(v.evidence) == 0 && len(v.suspects) == 0 {
		return v
	}
	return &View{list: v.list}
}
