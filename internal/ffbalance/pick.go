package ffbalance

import (
	"math"
	"time"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// remotePenalty is the extra time of a call to another data centre, in nanoseconds.
const remotePenalty = float64(3 * time.Millisecond)

// hopPenalty is the extra time of a call to the daemon of another VM, in nanoseconds.
const hopPenalty = float64(150 * time.Microsecond)

// ownMember is the index of the target on this daemon's VM in a group that has it.
const ownMember = 0

// without returns the members that are not excluded.
func (g *group) without(exclude []string) set {
	s := g.local | g.remote
	for _, name := range exclude {
		for i := range g.members {
			if g.members[i].vm.Name == name {
				s = s.without(i)
			}
		}
	}
	return s
}

// pick returns the member for a call among those allowed, and false if there is
// none. In order of preference: a member due for a probe, an eligible local one
// with spill to remote ones, an eligible remote one, any other.
func (c *Chooser) pick(g *group, class ffconfig.Class, allowed set, now time.Time) (int, bool) {
	if c.Off.RoundRobin {
		return g.nextInTurn(allowed)
	}
	if i, ok := g.probe(class, allowed, now); ok {
		return i, true
	}
	eligible := set(g.eligible.Load())
	if near := allowed & eligible & g.local; !near.empty() {
		return c.spill(g, class, near, allowed&eligible&g.remote, now), true
	}
	for _, s := range [...]set{eligible & g.remote, g.local, g.remote} {
		if s &= allowed; !s.empty() {
			i, _ := c.cheaperOfTwo(g, class, s, now)
			return i, true
		}
	}
	return 0, false
}

// nextInTurn returns the allowed members in turn: the local ones if there are
// any, otherwise the remote ones.
func (g *group) nextInTurn(allowed set) (int, bool) {
	s := allowed & g.local
	if s.empty() {
		s = allowed
	}
	if s.empty() {
		return 0, false
	}
	return s.nth(int(g.turn.Add(1) % uint64(s.size()))), true
}

// probe returns an ejected member that is due to be probed by this call. Only
// short calls are used as probes.
func (g *group) probe(class ffconfig.Class, allowed set, now time.Time) (int, bool) {
	enoughCalls := g.calls.Add(1) >= callsPerProbe
	if class != ffconfig.ClassShort {
		return 0, false
	}
	for s := allowed &^ set(g.eligible.Load()); !s.empty(); s = s.without(s.first()) {
		if g.members[s.first()].stats.tryProbe(enoughCalls, now) {
			g.calls.Store(0)
			return s.first(), true
		}
	}
	return 0, false
}

// spill returns the cheaper of two members of the daemon's data centre, or one of
// another data centre if the call is expected to end sooner there, network time
// included.
func (c *Chooser) spill(g *group, class ffconfig.Class, near, far set, now time.Time) int {
	local, cost := c.pickLocal(g, class, near, now)
	if c.Off.NoSpill || far.empty() || cost < minLatency+remotePenalty {
		return local
	}
	remote, remoteCost := c.cheaperOfTwo(g, class, far, now)
	if remoteCost < cost {
		return remote
	}
	return local
}

// pickLocal returns the cheaper of two members of the daemon's data centre, or the
// target on the daemon's own VM unless that costs more than the other member and
// the hop to it. It also returns the cost in nanoseconds.
func (c *Chooser) pickLocal(g *group, class ffconfig.Class, near set, now time.Time) (int, float64) {
	i, cost := c.cheaperOfTwo(g, class, near, now)
	if c.Off.NoOwnTarget || !near.has(ownMember) || !g.hasOwn || i == ownMember {
		return i, cost
	}
	if own := c.cost(g, ownMember, class, now); own <= cost+hopPenalty {
		return ownMember, own
	}
	return i, cost
}

// cheaperOfTwo returns the cheaper of two members drawn at random from a set, and
// its cost in nanoseconds.
func (c *Chooser) cheaperOfTwo(g *group, class ffconfig.Class, s set, now time.Time) (int, float64) {
	bits := c.draw()
	first := s.nth(int(bits & math.MaxUint32 % uint64(s.size())))
	cost := c.cost(g, first, class, now)
	rest := s.without(first)
	if rest.empty() {
		return first, cost
	}
	second := rest.nth(int(bits >> 32 % uint64(rest.size())))
	if other := c.cost(g, second, class, now); other < cost {
		return second, other
	}
	return first, cost
}

// cost returns the expected duration of a call at member i, in nanoseconds.
func (c *Chooser) cost(g *group, i int, class ffconfig.Class, now time.Time) float64 {
	baseline := max(float64(g.medianLatency[class].Load()), minLatency)
	if g.remote.has(i) && !g.local.empty() {
		baseline += remotePenalty
	}
	return g.members[i].stats.cost(class, baseline, !c.Off.NoLoadReports, now)
}

// draw returns random bits.
func (c *Chooser) draw() uint64 {
	if c.Rand != nil {
		return c.Rand()
	}
	return mix(c.draws.Add(1))
}

// mix returns the n-th number of a fixed pseudorandom sequence.
func mix(n uint64) uint64 {
	n *= 0x9e3779b97f4a7c15
	n = (n ^ n>>30) * 0xbf58476d1ce4e5b9
	n = (n ^ n>>27) * 0x94d049bb133111eb
	return n ^ n>>31
}
