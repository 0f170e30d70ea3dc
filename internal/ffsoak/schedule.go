package ffsoak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
)

const (
	// faultSpacing is the length of the soak per scheduled fault.
	faultSpacing = time.Second
	// minFault and maxFault bound the length of a fault.
	minFault = 1200 * time.Millisecond
	maxFault = 6 * time.Second
	// faultDivisor limits a fault to length/faultDivisor.
	faultDivisor = 6
	// drawAttempts is the maximum number of tries to place a fault without a conflict.
	drawAttempts = 30
	// maxBack is the maximum number of publications by which the platform reverts.
	maxBack = 6
	// firstFrom is when the first planned stop begins, in percent of the length;
	// the other faults begin between mixedFrom and mixedUntil.
	firstFrom  = 8
	mixedFrom  = 20
	mixedUntil = 60
	// herdDivisor sets the number of daemons killed together: len(fleet)/herdDivisor.
	herdDivisor = 3
)

// Schedule holds the faults and changes of a soak. It is determined by the seed,
// the length, the fleet and the service with long work.
type Schedule struct {
	Faults  []Fault  `json:"faults"`
	Changes []Change `json:"changes"`
}

// NewSchedule returns the schedule of a seed. All faults end within the first three
// quarters of the length.
func NewSchedule(seed uint64, length time.Duration, fleet []ffmember.VM, longService string) Schedule {
	d := &builder{
		random:      rand.New(rand.NewPCG(seed, uint64(length))),
		length:      length,
		fleet:       fleet,
		longService: longService,
	}
	for _, vm := range fleet {
		if !slices.Contains(d.dataCentres, vm.DataCentre) {
			d.dataCentres = append(d.dataCentres, vm.DataCentre)
		}
	}
	d.faults()
	return Schedule{Faults: d.drawn, Changes: drawChanges(d.random, length)}
}

// builder draws a schedule.
type builder struct {
	random      *rand.Rand
	length      time.Duration
	fleet       []ffmember.VM
	dataCentres []string
	longService string
	// earliest is the earliest start of a fault, in percent of the length.
	earliest     time.Duration
	drawn        []Fault
	reservations []reservation
}

// reservation excludes other faults from a resource for a time, in milliseconds
// from the start of the load.
type reservation struct {
	resource    string
	from, until int64
}

func (d *builder) faults() {
	n := max(int(d.length/faultSpacing), int(FaultCutOneWay))
	var order []FaultKind
	for len(order) < n {
		order = append(order, d.permutation()...)
	}
	order = append([]FaultKind{FaultPlannedStop}, order[:n]...)
	for i, kind := range order {
		d.earliest = mixedFrom
		if i == 0 {
			d.earliest = firstFrom
		}
		for range drawAttempts {
			if d.place(d.fault(kind)) {
				break
			}
		}
	}
	slices.SortStableFunc(d.drawn, func(a, b Fault) int { return cmp.Compare(a.AtMillis, b.AtMillis) })
}

// latest returns the latest start of a fault, in percent of the length. The
// first fault starts before all others.
func (d *builder) latest() time.Duration {
	if d.earliest == firstFrom {
		return firstFrom + 1
	}
	return mixedUntil
}

func (d *builder) permutation() []FaultKind {
	kinds := make([]FaultKind, faultKinds)
	for i, k := range d.random.Perm(int(faultKinds)) {
		kinds[i] = FaultKind(k)
	}
	return kinds
}

// fault draws a fault of a kind.
func (d *builder) fault(kind FaultKind) Fault {
	start := d.randomBetween(d.length*d.earliest/100, d.length*d.latest()/100)
	longest := min(maxFault, d.length/faultDivisor, d.length*74/100-start)
	end := start + d.randomBetween(min(minFault, longest), longest)
	f := Fault{Kind: kind, AtMillis: start.Milliseconds(), UntilMillis: end.Milliseconds()}
	switch kind {
	case FaultPlannedStop:
		f.VMs = d.stopVM()
	case FaultKillHerd:
		f.VMs = d.herd()
	case FaultKillDataCentre:
		f.From = d.dataCentre()
		f.VMs = d.namesIn(f.From)
	case FaultCut, FaultPlatformCut, FaultSilentPeer, FaultSilentForward, FaultHeldForward:
		f.From = d.dataCentre()
	case FaultCutOneWay, FaultSilentOneWay:
		f.From = d.dataCentre()
		f.To = d.otherDataCentre(f.From)
	case FaultPlatformStale, FaultPlatformFlapping:
		f.Back = 1 + d.random.IntN(maxBack)
	case FaultPlatformOutage, FaultPlatformRefusing, FaultPlatformSlow, FaultPlatformCorrupt:
	default:
		f.VMs = []string{d.fleet[d.random.IntN(len(d.fleet))].Name}
	}
	return f
}

func (d *builder) randomBetween(low, high time.Duration) time.Duration {
	return low + time.Duration(d.random.Int64N(max(int64(high-low), 1)))
}

func (d *builder) dataCentre() string { return d.dataCentres[d.random.IntN(len(d.dataCentres))] }

func (d *builder) otherDataCentre(name string) string {
	for {
		if other := d.dataCentre(); other != name {
			return other
		}
	}
}

// stopVM draws a VM that runs long work.
func (d *builder) stopVM() []string {
	var names []string
	for _, vm := range d.fleet {
		if vm.Service == d.longService {
			names = append(names, vm.Name)
		}
	}
	return names[d.random.IntN(len(names)):][:1]
}

func (d *builder) herd() []string {
	var names []string
	for _, i := range d.random.Perm(len(d.fleet))[:len(d.fleet)/herdDivisor] {
		names = append(names, d.fleet[i].Name)
	}
	return names
}

func (d *builder) namesIn(dataCentre string) []string {
	var names []string
	for _, vm := range d.fleet {
		if vm.DataCentre == dataCentre {
			names = append(names, vm.Name)
		}
	}
	return names
}

// place adds a fault and reports true, unless a resource that it affects is
// reserved at that time.
func (d *builder) place(f Fault) bool {
	needed := d.resources(f)
	for _, c := range d.reservations {
		if slices.Contains(needed, c.resource) && c.from < f.UntilMillis && f.AtMillis < c.until {
			return false
		}
	}
	for _, resource := range needed {
		d.reservations = append(d.reservations, reservation{resource: resource, from: f.AtMillis, until: f.UntilMillis})
	}
	d.drawn = append(d.drawn, f)
	return true
}

// resources names what a fault affects, so that no two faults affect the same
// resource at a time.
func (d *builder) resources(f Fault) []string {
	var names []string
	switch f.Kind {
	case FaultKillHerd, FaultKillDataCentre:
		names = append(names, "manyDaemons")
	case FaultCut:
		for _, other := range d.dataCentres {
			names = append(names, "link "+f.From+" "+other, "link "+other+" "+f.From)
		}
		return names
	case FaultSilentPeer, FaultSilentForward, FaultHeldForward:
		for _, other := range d.dataCentres {
			names = append(names, "link "+other+" "+f.From)
		}
		return names
	case FaultCutOneWay, FaultSilentOneWay:
		return []string{"link " + f.From + " " + f.To}
	case FaultPlatformCut:
		return []string{"platform " + f.From}
	case FaultSilentTarget, FaultTargetSlow, FaultTargetCrash:
		return []string{"target " + f.VMs[0]}
	default:
		if f.Kind.ofPlatform() {
			return []string{"platform"}
		}
	}
	for _, vm := range f.VMs {
		names = append(names, "daemon "+vm)
	}
	return names
}
