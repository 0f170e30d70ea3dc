package ffsoak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
)

const (
	// faultSpacing is the time of load for each fault.
	faultSpacing = time.Second
	// minFault and maxFault bound the length of a fault.
	minFault = 1200 * time.Millisecond
	maxFault = 6 * time.Second
	// faultPart is the part of the length that a fault may take, as a divisor.
	faultPart = 6
	// drawAttempts bounds the tries to find a place for a fault.
	drawAttempts = 30
	// maxBack bounds the publications that the platform goes back.
	maxBack = 6
	// firstFrom is when the first planned stop begins, in percent of the length;
	// the other faults begin between mixedFrom and mixedUntil.
	firstFrom  = 8
	mixedFrom  = 20
	mixedUntil = 60
	// herdPart is the part of all VMs that dies in a herd, as a divisor.
	herdPart = 3
)

// Schedule is everything that a soak does to a deployment. It follows from the
// seed, the length and the fleet alone.
type Schedule struct {
	Faults  []Fault  `json:"faults"`
	Changes []Change `json:"changes"`
}

// Draw returns the schedule of a seed. All faults end within the first three
// quarters of the length.
func Draw(seed uint64, length time.Duration, fleet []ffmember.VM, longService string) Schedule {
	d := &drawing{
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

// drawing is a schedule in the making.
type drawing struct {
	random      *rand.Rand
	length      time.Duration
	fleet       []ffmember.VM
	dataCentres []string
	longService string
	// earliest is the part of the length, in percent, from which a fault begins.
	earliest time.Duration
	drawn    []Fault
	claims   []claim
}

// claim keeps other faults away from what a fault concerns.
type claim struct {
	resource    string
	from, until int64
}

func (d *drawing) faults() {
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

// latest returns the part of the length, in percent, up to which a fault begins;
// the first one comes alone.
func (d *drawing) latest() time.Duration {
	if d.earliest == firstFrom {
		return firstFrom + 1
	}
	return mixedUntil
}

func (d *drawing) permutation() []FaultKind {
	kinds := make([]FaultKind, faultKinds)
	for i, k := range d.random.Perm(int(faultKinds)) {
		kinds[i] = FaultKind(k)
	}
	return kinds
}

// fault draws a fault of a kind.
func (d *drawing) fault(kind FaultKind) Fault {
	start := d.between(d.length*d.earliest/100, d.length*d.latest()/100)
	longest := min(maxFault, d.length/faultPart, d.length*74/100-start)
	end := start + d.between(min(minFault, longest), longest)
	f := Fault{Kind: kind, AtMillis: start.Milliseconds(), UntilMillis: end.Milliseconds()}
	switch kind {
	case FaultPlannedStop:
		f.VMs = d.stopped()
	case FaultKillHerd:
		f.VMs = d.herd()
	case FaultKillDataCentre:
		f.From = d.dataCentre()
		f.VMs = d.namesIn(f.From)
	case FaultCut, FaultPlatformCut, FaultSilentPeer, FaultSilentForward, FaultHeldForward:
		f.From = d.dataCentre()
	case FaultCutOneWay, FaultSilentWay:
		f.From = d.dataCentre()
		f.To = d.otherThan(f.From)
	case FaultPlatformStale, FaultPlatformFlapping:
		f.Back = 1 + d.random.IntN(maxBack)
	case FaultPlatformOutage, FaultPlatformRefusing, FaultPlatformSlow, FaultPlatformCorrupt:
	default:
		f.VMs = []string{d.fleet[d.random.IntN(len(d.fleet))].Name}
	}
	return f
}

func (d *drawing) between(low, high time.Duration) time.Duration {
	return low + time.Duration(d.random.Int64N(max(int64(high-low), 1)))
}

func (d *drawing) dataCentre() string { return d.dataCentres[d.random.IntN(len(d.dataCentres))] }

func (d *drawing) otherThan(name string) string {
	for {
		if other := d.dataCentre(); other != name {
			return other
		}
	}
}

// stopped draws a VM that runs long work.
func (d *drawing) stopped() []string {
	var names []string
	for _, vm := range d.fleet {
		if vm.Service == d.longService {
			names = append(names, vm.Name)
		}
	}
	return names[d.random.IntN(len(names)):][:1]
}

func (d *drawing) herd() []string {
	var names []string
	for _, i := range d.random.Perm(len(d.fleet))[:len(d.fleet)/herdPart] {
		names = append(names, d.fleet[i].Name)
	}
	return names
}

func (d *drawing) namesIn(dataCentre string) []string {
	var names []string
	for _, vm := range d.fleet {
		if vm.DataCentre == dataCentre {
			names = append(names, vm.Name)
		}
	}
	return names
}

// place adds a fault when nothing that it concerns is claimed meanwhile.
func (d *drawing) place(f Fault) bool {
	wanted := d.resources(f)
	for _, c := range d.claims {
		if slices.Contains(wanted, c.resource) && c.from < f.UntilMillis && f.AtMillis < c.until {
			return false
		}
	}
	for _, resource := range wanted {
		d.claims = append(d.claims, claim{resource: resource, from: f.AtMillis, until: f.UntilMillis})
	}
	d.drawn = append(d.drawn, f)
	return true
}

// resources names what a fault concerns, so that two faults never set the same one.
func (d *drawing) resources(f Fault) []string {
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
	case FaultCutOneWay, FaultSilentWay:
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
