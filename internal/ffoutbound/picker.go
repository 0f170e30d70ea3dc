package ffoutbound

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
	"fireflyfall.dev/fireflyfall/internal/ffmesh"
	"fireflyfall.dev/fireflyfall/internal/ffsubset"
)

const (
	// defaultTypical is the service time assumed while no target of a service was measured.
	defaultTypical = 60 * time.Millisecond
	// Network cost of a call to another VM in the same and in another data centre, and
	// of each body byte sent to another data centre.
	sameDataCentreCost      = 500 * time.Microsecond
	crossDataCentreCost     = 25 * time.Millisecond
	crossDataCentreByteCost = 8 * time.Microsecond
	// failingCost is the additional cost of a target that fails every call.
	failingCost = 600 * time.Millisecond
	// costJitter is the largest fraction of a cost that is randomly added to it, so that
	// entries with the same data do not all choose the same target.
	costJitter = 0.15
	// unreachableCost is the additional cost of a VM that is silent or unreachable.
	unreachableCost = 5 * time.Second
	// closedCost is the additional cost of a gate that accepts no calls.
	closedCost = 20 * time.Second
)

const (
	// maxUnsampled is the largest number of targets that are all compared. Of more
	// targets a few are sampled, so that entries with outdated data do not overload the
	// target that looks best to all of them.
	maxUnsampled = 12
	// nearSamples and randomSamples are the numbers of targets sampled from the own
	// data centre, and from all data centres.
	nearSamples   = 3
	randomSamples = 2
)

// Location is the location of a daemon.
type Location struct {
	VM         netip.Addr
	DataCentre string
}

func locationOf(t fffleet.Target) Location { return Location{VM: t.VM(), DataCentre: t.DataCentre} }

// Choice is the target picked for a call, with the data behind the decision.
type Choice struct {
	Target fffleet.Target
	Cost   time.Duration
	// Wait is the part of Cost that is waiting for a slot.
	Wait time.Duration
	// Busy is the share of the target's slots that are probably in use.
	Busy float64
	// LoadAge is the age of the load that Cost was computed from.
	LoadAge time.Duration
	// Candidates is the number of targets that were compared.
	Candidates int
}

// Picker picks the target with the lowest cost: the estimated time of waiting, service
// and network, plus penalties for failing and unavailable targets.
type Picker struct {
	// Location is that of this entry.
	Location Location
	Loads    *LoadTracker

	mu sync.Mutex
	// used holds the targets that this entry uses, by service, of the fleet with usedOf
	// as its digest.
	used   map[string][]fffleet.Target
	usedOf uint64
}

// Pick returns the cheapest target of the call's service that is not in tried, and
// false if there is none.
func (p *Picker) Pick(fleet fffleet.Fleet, c *ffmesh.Call, tried map[string]bool, now time.Time) (Choice, bool) {
	targets := p.sample(p.subset(fleet, c.Service), tried)
	states := make([]vmState, len(targets))
	for i, t := range targets {
		states[i] = p.Loads.snapshot(t.VM())
	}
	assumed := assumedTypical(targets, states)
	var best, near Choice
	for i, t := range targets {
		s := &states[i]
		cost, wait := p.cost(t, s, c, assumed, now)
		choice := Choice{Target: t, Cost: cost, Wait: wait, Busy: s.utilization(t), LoadAge: now.Sub(s.loadAt)}
		if i == 0 || cost < best.Cost {
			best = choice
		}
		if t.DataCentre == p.Location.DataCentre && (near.Cost == 0 || cost < near.Cost) {
			near = choice
		}
	}
	if near.inTime(c, now) {
		best = near
	}
	best.Candidates = len(targets)
	return best, len(targets) > 0
}

// nearMargin is the multiple of its cost within which a call at a target of the own data
// centre must have its objective for none elsewhere to be considered.
const nearMargin = 1.5

// inTime reports whether a call will most probably end by its objective at the chosen target,
// also if it waits for a slot there.
func (c Choice) inTime(call *ffmesh.Call, now time.Time) bool {
	return c.Cost > 0 && !now.Add(time.Duration(nearMargin*float64(c.Cost))).After(call.Objective)
}

// subset returns the targets of a service that this entry uses.
func (p *Picker) subset(fleet fffleet.Fleet, service string) []fffleet.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.used == nil || p.usedOf != fleet.Digest() {
		p.used, p.usedOf = make(map[string][]fffleet.Target), fleet.Digest()
	}
	targets, ok := p.used[service]
	if !ok {
		targets = ffsubset.Of(ffsubset.Entry(p.Location), fleet, fleet.Serving(service))
		p.used[service] = targets
	}
	return targets
}

// measured reports whether the load holds a service time of t, and not of another
// target that ran on the same VM.
func (s *vmState) measured(t fffleet.Target) bool { return s.load.Typical > 0 && s.load.Target == t.ID }

// outstanding returns the number of calls that probably run or wait at the gate.
func (s *vmState) outstanding() int { return s.load.Running + s.load.Queued + s.callsSince }

// utilization returns the share of the slots of t that are probably in use.
func (s *vmState) utilization(t fffleet.Target) float64 {
	return min(float64(s.outstanding())/float64(max(t.Slots, 1)), 1)
}

// assumedTypical returns the service time assumed for a target that was not measured
// yet: the mean of the measured ones. A higher estimate would keep it from being tried.
func assumedTypical(targets []fffleet.Target, states []vmState) time.Duration {
	var sum time.Duration
	n := 0
	for i, t := range targets {
		if states[i].measured(t) {
			sum += states[i].load.Typical
			n++
		}
	}
	if n == 0 {
		return defaultTypical
	}
	return sum / time.Duration(n)
}

// sample returns the targets to compare that were not tried: all of them or, of many,
// the one on this VM, some in its data centre, and some random ones.
func (p *Picker) sample(serving []fffleet.Target, tried map[string]bool) []fffleet.Target {
	untried := make([]fffleet.Target, 0, len(serving))
	for _, t := range serving {
		if !tried[t.ID] {
			untried = append(untried, t)
		}
	}
	if len(untried) <= maxUnsampled {
		return untried
	}
	rand.Shuffle(len(untried), func(i, j int) { untried[i], untried[j] = untried[j], untried[i] })
	sampled := randomSamples
	near := 0
	for i := randomSamples; i < len(untried); i++ {
		own := untried[i].VM() == p.Location.VM
		if own || near < nearSamples && untried[i].DataCentre == p.Location.DataCentre {
			untried[sampled], untried[i] = untried[i], untried[sampled]
			sampled++
			near++
		}
	}
	return untried[:sampled]
}

// cost estimates the cost of a call to t, and the part of it that is waiting for a
// slot. assumed is the service time of a target that was not measured.
func (p *Picker) cost(t fffleet.Target, s *vmState, c *ffmesh.Call, assumed time.Duration, now time.Time) (cost, wait time.Duration) {
	typical, slots := s.load.Typical, max(t.Slots, 1)
	if !s.measured(t) {
		typical = assumed
	}
	wait = time.Duration(max(s.outstanding()+1-slots, 0)) * typical / time.Duration(slots)
	wait = max(wait, pacedWait(t, s))
	cost = wait + typical + time.Duration(crowding(s.utilization(t))*float64(typical))
	cost += time.Duration(float64(s.load.Failing) * float64(failingCost))
	cost = time.Duration(float64(cost) * (1 + costJitter*rand.Float64()))
	return cost + p.networkCost(t, c) + p.transferTime(t, s, c) + p.unavailabilityCost(t, s, now), wait
}

// crowding estimates how long a call waits at a target with a share of its slots in use, as a
// multiple of the service time. What an entry knows may be half a second old: by then a
// target with half of its slots in use rarely has no free one, and one with nearly all
// mostly has none.
func crowding(utilization float64) float64 { return math.Pow(utilization, 4) }

// pacedWait estimates how long a call to t waits for its turn under the limit that the
// target named, and under the one that its gate keeps now.
func pacedWait(t fffleet.Target, s *vmState) time.Duration {
	var wait time.Duration
	if s.limit > 0 && s.limitOf == t.ID {
		wait = time.Duration(float64(s.load.Queued+s.callsSince) / s.limit * float64(time.Second))
	}
	if s.load.Limit > 0 && s.load.Target == t.ID {
		wait = max(wait, s.load.Paced+time.Duration(float64(s.callsSince)/float64(s.load.Limit)*float64(time.Second)))
	}
	return wait
}

// transferTime estimates how long it takes to send a long body to t, behind those
// already on their way there.
func (p *Picker) transferTime(t fffleet.Target, s *vmState, c *ffmesh.Call) time.Duration {
	if t.VM() == p.Location.VM || !c.HasLongBody() || s.load.Link <= 0 {
		return 0
	}
	return s.load.Intake + time.Duration(float64(s.bytesSince+c.BodyLength())/float64(s.load.Link)*float64(time.Second))
}

// networkCost returns the cost of the network between this VM and t.
func (p *Picker) networkCost(t fffleet.Target, c *ffmesh.Call) time.Duration {
	switch {
	case t.VM() == p.Location.VM:
		return 0
	case t.DataCentre == p.Location.DataCentre:
		return sameDataCentreCost
	}
	return crossDataCentreCost + time.Duration(max(len(c.Body), int(c.Length)))*crossDataCentreByteCost
}

// unavailabilityCost returns the cost of a gate that probably accepts no call.
func (p *Picker) unavailabilityCost(t fffleet.Target, s *vmState, now time.Time) time.Duration {
	var cost time.Duration
	if t.VM() != p.Location.VM {
		silent := !s.silentAt.IsZero() && now.After(s.silentAt)
		if silent || now.Before(s.unreachableUntil) || p.Loads.cutOff(t.DataCentre, now) {
			cost += unreachableCost
		}
		if s.leaving {
			cost += closedCost
		}
	}
	if s.load.Closed && s.load.Target == t.ID {
		cost += closedCost
	}
	return cost
}
