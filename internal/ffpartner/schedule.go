package ffpartner

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffdelegate"
)

const (
	// Interval is the time between two rounds of heartbeats.
	Interval = 250 * time.Millisecond
	// maxPerRound is the largest number of heartbeats in a round, but in a fleet of at
	// most smallFleet others all get one.
	maxPerRound = 10
	smallFleet  = 16
	// minNearPerRound is the smallest number of heartbeats of a round to random daemons
	// of the own data centre, and farPerRound the number to those of others: by them
	// news spreads to all.
	minNearPerRound = 2
	farPerRound     = 1
	// callerKept is how long after its last call an entry gets heartbeats regularly, and
	// farCallerKept is that of one in another data centre: few of its calls cross, and
	// each answer brings it the load.
	callerKept    = 8 * time.Second
	farCallerKept = 2 * time.Second
)

// Heartbeat is one heartbeat to send.
type Heartbeat struct {
	VM netip.Addr
	// Every is the time until the next one to the same daemon; 0 if none is planned.
	Every time.Duration
}

// Schedule is the order in which daemons get heartbeats. The zero value is empty.
type Schedule struct {
	// callers holds the time of the last call of each entry that calls this VM's gate.
	callers map[netip.Addr]time.Time
	// last is the caller that got the last regular heartbeat.
	last netip.Addr
	// planned holds the time between two heartbeats to each daemon that gets them
	// regularly.
	planned map[netip.Addr]time.Duration
}

// Planned returns the time between two heartbeats to vm; 0 if none are planned.
func (s *Schedule) Planned(vm netip.Addr) time.Duration { return s.planned[vm] }

// Called records a call of the entry on vm.
func (s *Schedule) Called(vm netip.Addr, now time.Time) {
	if s.callers == nil {
		s.callers = make(map[netip.Addr]time.Time)
	}
	s.callers[vm] = now
}

// Next returns the heartbeats of the next round. others are the other daemons of the
// fleet, which it reorders, and dataCentre is the own data centre.
func (s *Schedule) Next(others []ffdelegate.Member, dataCentre string, now time.Time, rng *rand.Rand) []Heartbeat {
	if len(others) <= smallFleet {
		return s.all(others)
	}
	callers := s.current(others, dataCentre, now)
	s.plan(callers, roundsFor(len(callers))*Interval)
	round := s.rotate(callers)
	near, far := maxPerRound-farPerRound-len(round), farPerRound
	rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, m := range others {
		left := &far
		if m.DataCentre == dataCentre {
			left = &near
		}
		if *left > 0 && !slices.ContainsFunc(round, func(h Heartbeat) bool { return h.VM == m.VM }) {
			*left--
			round = append(round, Heartbeat{VM: m.VM, Every: s.planned[m.VM]})
		}
	}
	return round
}

// all returns a heartbeat to each of the others.
func (s *Schedule) all(others []ffdelegate.Member) []Heartbeat {
	vms := make([]netip.Addr, 0, len(others))
	round := make([]Heartbeat, 0, len(others))
	for _, m := range others {
		vms = append(vms, m.VM)
		round = append(round, Heartbeat{VM: m.VM, Every: Interval})
	}
	s.plan(vms, Interval)
	return round
}

// plan replaces the plan by heartbeats to vms.
func (s *Schedule) plan(vms []netip.Addr, every time.Duration) {
	s.planned = make(map[netip.Addr]time.Duration, len(vms))
	for _, vm := range vms {
		s.planned[vm] = every
	}
}

// current forgets the entries that no longer call or exist, and returns the others in
// order of address.
func (s *Schedule) current(others []ffdelegate.Member, dataCentre string, now time.Time) []netip.Addr {
	kept := make(map[netip.Addr]time.Duration, len(others))
	for _, m := range others {
		kept[m.VM] = farCallerKept
		if m.DataCentre == dataCentre {
			kept[m.VM] = callerKept
		}
	}
	var callers []netip.Addr
	for vm, at := range s.callers {
		if d, exists := kept[vm]; !exists || now.Sub(at) > d {
			delete(s.callers, vm)
			continue
		}
		callers = append(callers, vm)
	}
	slices.SortFunc(callers, netip.Addr.Compare)
	return callers
}

// regularPerRound is the number of heartbeats in a round to entries that call.
const regularPerRound = maxPerRound - minNearPerRound - farPerRound

// roundsFor returns the number of rounds in which n callers get a heartbeat each.
func roundsFor(n int) time.Duration {
	return time.Duration(max(1, (n+regularPerRound-1)/regularPerRound))
}

// rotate returns the heartbeats to the callers whose turn it is: those after the last
// one in order of address.
func (s *Schedule) rotate(callers []netip.Addr) []Heartbeat {
	first, _ := slices.BinarySearchFunc(callers, s.last, func(a, b netip.Addr) int {
		return cmp.Or(a.Compare(b), -1)
	})
	var round []Heartbeat
	for i := range min(len(callers), regularPerRound) {
		vm := callers[(first+i)%len(callers)]
		round = append(round, Heartbeat{VM: vm, Every: s.planned[vm]})
		s.last = vm
	}
	return round
}
