package ffmember

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Bounds of the evidence that a view holds.
const (
	// MaxEvidence is the number of VMs for which a view holds evidence.
	MaxEvidence = 2048
	// MaxEvidenceLife bounds the time until evidence expires.
	MaxEvidenceLife = 10 * time.Minute
	// MaxFieldBytes bounds each text of a VM in evidence, in bytes.
	MaxFieldBytes = 255
)

// View is what one daemon knows of all VMs, immutable. The zero value is empty.
type View struct {
	list     *List
	evidence map[string]Evidence
	// suspects are VMs that did not answer this daemon, until the time given.
	// They stay local, so that a partition does not spread accusations.
	suspects map[string]time.Time

	once  sync.Once
	index index
}

type index struct {
	byName       map[string]VM
	live         []VM
	byDataCentre map[string][]VM
	byService    map[string][]VM
	digest       uint64
}

// List returns the latest list of the platform that the view knows.
func (v *View) List() *List {
	if v.list == nil {
		return &List{}
	}
	return v.list
}

// WithList returns the view with the list, or the view itself when the list is not newer.
func (v *View) WithList(l *List) *View {
	if !l.NewerThan(v.List()) {
		return v
	}
	return &View{list: l, evidence: v.evidence, suspects: v.suspects}
}

// WithEvidence returns the view with the evidence merged in, or the view itself
// when it tells nothing new. Evidence that has expired at now is ignored.
func (v *View) WithEvidence(now time.Time, all ...Evidence) *View {
	merged := maps.Clone(v.evidence)
	if merged == nil {
		merged = make(map[string]Evidence)
	}
	changed := false
	for _, e := range all {
		if !admissible(now, e) {
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
	bound(merged)
	return &View{list: v.list, evidence: merged, suspects: v.suspects}
}

func admissible(now time.Time, e Evidence) bool {
	if !e.Expires.After(now) || e.Expires.After(now.Add(MaxEvidenceLife)) {
		return false
	}
	if e.State < StateLive || e.State > StateGone || e.VM.Name == "" {
		return false
	}
	longest := max(len(e.VM.Name), len(e.VM.DataCentre), len(e.VM.Service), len(e.VM.PeerAddress), len(e.VM.ForwardAddress), len(e.VM.OperatorAddress))
	return longest <= MaxFieldBytes
}

// bound drops the evidence that expires first, then by name, above the bound.
func bound(evidence map[string]Evidence) {
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

// WithSuspect returns the view in which this daemon passes over the VM until the time given.
func (v *View) WithSuspect(name string, until time.Time) *View {
	suspects := maps.Clone(v.suspects)
	if suspects == nil {
		suspects = make(map[string]time.Time)
	}
	suspects[name] = until
	return &View{list: v.list, evidence: v.evidence, suspects: suspects}
}

// WithoutSuspect returns the view in which the VM has answered.
func (v *View) WithoutSuspect(name string) *View {
	if _, ok := v.suspects[name]; !ok {
		return v
	}
	suspects := maps.Clone(v.suspects)
	delete(suspects, name)
	return &View{list: v.list, evidence: v.evidence, suspects: suspects}
}

// WithoutExpired returns the view without what has expired at now, or the view
// itself when nothing has.
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

// Evidence returns all evidence, by name of the VM.
func (v *View) Evidence() []Evidence {
	all := make([]Evidence, 0, len(v.evidence))
	for _, name := range slices.Sorted(maps.Keys(v.evidence)) {
		all = append(all, v.evidence[name])
	}
	return all
}

// Incarnation returns the latest incarnation of a VM that evidence shows; zero when none does.
func (v *View) Incarnation(name string) Incarnation { return v.evidence[name].Incarnation }

// Suspect reports whether the VM did not answer this daemon lately.
func (v *View) Suspect(name string) bool {
	_, ok := v.suspects[name]
	return ok
}

// VM returns a VM by name with the state that the view gives it.
func (v *View) VM(name string) (VM, bool) {
	v.build()
	vm, ok := v.index.byName[name]
	return vm, ok
}

// Len returns the number of VMs that are not gone.
func (v *View) Len() int {
	v.build()
	return len(v.index.byName)
}

// All returns the live VMs, by name. The caller must not change the slice.
func (v *View) All() []VM {
	v.build()
	return v.index.live
}

// Live returns the live VMs of a service, by name. The caller must not change the slice.
func (v *View) Live(service string) []VM {
	v.build()
	return v.index.byService[service]
}

// InDataCentre returns the live VMs of a data centre, by name. The caller must not change the slice.
func (v *View) InDataCentre(dataCentre string) []VM {
	v.build()
	return v.index.byDataCentre[dataCentre]
}

// DataCentres returns the data centres that have a live VM, sorted.
func (v *View) DataCentres() []string {
	v.build()
	return slices.Sorted(maps.Keys(v.index.byDataCentre))
}

// EvidenceDigest returns a hash of all evidence.
func (v *View) EvidenceDigest() uint64 {
	v.build()
	return v.index.digest
}

func (v *View) build() { v.once.Do(v.buildIndex) }

func (v *View) buildIndex() {
	byName := make(map[string]VM, v.List().Len()+len(v.evidence))
	for name, vm := range v.List().byName {
		byName[name] = vm
	}
	for name, e := range v.evidence {
		byName[name] = overlay(byName[name], e)
		v.index.digest += e.hash()
	}
	maps.DeleteFunc(byName, func(_ string, vm VM) bool { return vm.State == StateGone })
	v.index.byName = byName
	v.index.byDataCentre = make(map[string][]VM)
	v.index.byService = make(map[string][]VM)
	for _, vm := range byName {
		if vm.State == StateLive {
			v.index.live = append(v.index.live, vm)
		}
	}
	sortByName(v.index.live)
	for _, vm := range v.index.live {
		v.index.byDataCentre[vm.DataCentre] = append(v.index.byDataCentre[vm.DataCentre], vm)
		v.index.byService[vm.Service] = append(v.index.byService[vm.Service], vm)
	}
}

// overlay returns the VM as evidence shows it. The list says leaving before the
// daemon does, so that a live daemon does not take it back.
func overlay(listed VM, e Evidence) VM {
	vm := e.VM
	vm.State = e.State
	if e.State == StateLive && listed.State == StateLeaving {
		vm.State = StateLeaving
	}
	return vm
}

// EvidenceOf returns the evidence of a VM, and false when there is none.
func (v *View) EvidenceOf(name string) (Evidence, bool) {
	e, ok := v.evidence[name]
	return e, ok
}

// WithoutEvidence returns the view with the list alone.
func (v *View) WithoutEvidence() *View {
	if len(v.evidence) == 0 && len(v.suspects) == 0 {
		return v
	}
	return &View{list: v.list}
}
