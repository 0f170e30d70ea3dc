package ffoutbound

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
	"fireflyfall.dev/fireflyfall/internal/ffmesh"
)

const (
	// unknownTypical is assumed while no target of a service was measured.
	unknownTypical = 60 * time.Millisecond
	// Costs of the way to another VM, and of bytes to another data centre.
	sameCentreCost  = 500 * time.Microsecond
	otherCentreCost = 25 * time.Millisecond
	crossByteCost   = 8 * time.Microsecond
	// failingCost is the cost of a target that fails every call.
	failingCost = 600 * time.Millisecond
	// crowding is the part of the service time that a full target costs more.
	crowding = 0.5
	// noise is the greatest part by which costs are shuffled, so that entries with
	// the same facts do not all choose one target.
	noise = 0.15
	// avoidedCost is the cost of a VM that is silent or was not reached.
	avoidedCost = 5 * time.Second
	// closedCost is the cost of a gate that takes no calls.
	closedCost = 20 * time.Second
)

const (
	// weighAll is the greatest number of targets that are all weighed. Among more,
	// a few at random are, so that entries with old facts do not crowd the target
	// that looks best to all of them.
	weighAll = 12
	// weighNear and weighAny are the targets of the own data centre, and of any,
	// that are weighed then.
	weighNear = 2
	weighAny  = 2
	// weighNearLong takes the place of weighNear for a long body, which had better
	// not leave the data centre.
	weighNearLong = 3
)

// Place is where this entry stands.
type Place struct {
	VM         netip.Addr
	DataCentre string
}

// Choice is the target picked for a call and why.
type Choice struct {
	Target fffleet.Target
	Cost   time.Duration
	// Wait is the part of the cost that is waiting for a slot.
	Wait time.Duration
	// Age is how old the facts are that decided.
	Age time.Duration
	// Candidates is the number of targets that were weighed.
	Candidates int
}

// Picker chooses targets by the cost of waiting, of the way there and of failing.
type Picker struct {
	Place Place
	Board *Board
}

// Pick returns the cheapest target of a service that is not in tried.
func (p *Picker) Pick(fleet fffleet.Fleet, c *ffmesh.Call, tried map[string]bool, now time.Time) (Choice, bool) {
	targets := p.sample(fleet.Serving(c.Service), c, tried)
	facts := make([]fact, len(targets))
	for i, t := range targets {
		facts[i] = p.Board.get(t.VM())
	}
	assumed := assumedTypical(targets, facts)
	best := Choice{Candidates: len(targets)}
	for i, t := range targets {
		f := &facts[i]
		cost, wait := p.cost(t, f, c, assumed, now)
		if i == 0 || cost < best.Cost {
			best.Target, best.Cost, best.Wait, best.Age = t, cost, wait, now.Sub(f.learned)
		}
	}
	return best, len(targets) > 0
}

// measured reports whether f tells the service time of t.
func (f *fact) measured(t fffleet.Target) bool { return f.load.Typical > 0 && f.load.Target == t.ID }

// assumedTypical returns the service time of a target that was not measured yet:
// the mean of those that were. A dearer guess would keep it from being tried.
func assumedTypical(targets []fffleet.Target, facts []fact) time.Duration {
	var sum time.Duration
	n := 0
	for i, t := range targets {
		if facts[i].measured(t) {
			sum += facts[i].load.Typical
			n++
		}
	}
	if n == 0 {
		return unknownTypical
	}
	return sum / time.Duration(n)
}

// sample returns the targets to weigh: of many the own VM's, some near ones, and
// some from anywhere.
func (p *Picker) sample(serving []fffleet.Target, c *ffmesh.Call, tried map[string]bool) []fffleet.Target {
	open := make([]fffleet.Target, 0, len(serving))
	for _, t := range serving {
		if !tried[t.ID] {
			open = append(open, t)
		}
	}
	if len(open) <= weighAll {
		return open
	}
	rand.Shuffle(len(open), func(i, j int) { open[i], open[j] = open[j], open[i] })
	most := weighNear
	if c.Long() {
		most = weighNearLong
	}
	weighed := weighAny
	near := 0
	for i := weighAny; i < len(open); i++ {
		own := open[i].VM() == p.Place.VM
		if own || near < most && open[i].DataCentre == p.Place.DataCentre {
			open[weighed], open[i] = open[i], open[weighed]
			weighed++
			near++
		}
	}
	return open[:weighed]
}

// cost returns what a call to t likely costs in time, and how much of it is
// waiting. A target that was not measured is taken for one of the assumed time.
func (p *Picker) cost(t fffleet.Target, f *fact, c *ffmesh.Call, assumed time.Duration, now time.Time) (cost, wait time.Duration) {
	typical, slots := f.load.Typical, max(t.Slots, 1)
	if !f.measured(t) {
		typical = assumed
	}
	outstanding := f.load.Running + f.load.Queued + f.since
	wait = time.Duration(max(outstanding+1-slots, 0)) * typical / time.Duration(slots)
	used := min(float64(outstanding)/float64(slots), 1)
	cost = wait + typical + time.Duration(crowding*used*used*float64(typical))
	cost += time.Duration(float64(f.load.Failing) * float64(failingCost))
	cost = time.Duration(float64(cost) * (1 + noise*rand.Float64()))
	return cost + p.way(t, c) + p.link(t, f, c) + p.avoidance(t, f, now), wait
}

// link returns how long a long body takes to t, with those on their way before it.
func (p *Picker) link(t fffleet.Target, f *fact, c *ffmesh.Call) time.Duration {
	if t.VM() == p.Place.VM || !c.Long() || f.load.Link <= 0 {
		return 0
	}
	return f.load.Intake + time.Duration(float64(f.sent+c.BodyLength())/float64(f.load.Link)*float64(time.Second))
}

// way returns the cost of the way to t.
func (p *Picker) way(t fffleet.Target, c *ffmesh.Call) time.Duration {
	switch {
	case t.VM() == p.Place.VM:
		return 0
	case t.DataCentre == p.Place.DataCentre:
		return sameCentreCost
	}
	return otherCentreCost + time.Duration(max(len(c.Body), int(c.Length)))*crossByteCost
}

// avoidance returns the cost of a gate that likely takes no call.
func (p *Picker) avoidance(t fffleet.Target, f *fact, now time.Time) time.Duration {
	var cost time.Duration
	if t.VM() != p.Place.VM {
		if now.Before(f.down) || !f.silentAt.IsZero() && now.After(f.silentAt) {
			cost += avoidedCost
		}
		if f.leaving {
			cost += closedCost
		}
	}
	if f.load.Closed && f.load.Target == t.ID {
		cost += closedCost
	}
	return cost
}
