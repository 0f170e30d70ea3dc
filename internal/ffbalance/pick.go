package ffbalance

import (
	"math"
	"time"

	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// remotePenalty is the time that a call to another data centre takes longer, in nanoseconds.
const remotePenalty = float64(3 * time.Millisecond)

// hopPenalty is the time that a call to the daemon of another VM takes longer, in nanoseconds.
const hopPenalty = float64(150 * time.Microsecond)

// ownMember is the place of the target beside this daemon in a group that has it.
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

// pick returns the member for a call among those allowed.
func (c *Chooser) pick(g *group, class ffconfig.Class, allowed set, now time.Time) (int, bool) {
	if c.Off.RoundRobin {
		return g.next(allowed)
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
			i, _ := c.better(g, class, s, now)
			return i, true
		}
	}
	return 0, false
}

// next returns the members in turn.
func (g *group) next(allowed set) (int, bool) {
	s := allowed & g.local
	if s.empty() {
		s = allowed
	}
	if s.empty() {
		return 0, false
	}
	return s.nth(int(g.turn.Add(1) % uint64(s.size()))), true
}

// probe returns a shunned member whose turn it is to be tested by a short call.
func (g *group) probe(class ffconfig.Class, allowed set, now time.Time) (int, bool) {
	paid := g.calls.Add(1) >= callsPerProbe
	if class != ffconfig.ClassShort {
		return 0, false
	}
	for s := allowed &^ set(g.eligible.Load()); !s.empty(); s = s.without(s.first()) {
		if g.members[s.first()].facts.takeProbe(paid, now) {
			g.calls.Store(0)
			return s.first(), true
		}
	}
	return 0, false
}

// spill returns the better of two members of the own data centre, or one of
// another where the call is expected to end sooner, the way there included.
func (c *Chooser) spill(g *group, class ffconfig.Class, near, far set, now time.Time) int {
	local, cost := c.nearest(g, class, near, now)
	if c.Off.NoSpill || far.empty() || cost < minLatency+remotePenalty {
		return local
	}
	remote, remoteCost := c.better(g, class, far, now)
	if remoteCost < cost {
		return remote
	}
	return local
}

// nearest returns the better of two members of the own data centre, or the
// target beside this daemon where it costs no more than the way to another.
func (c *Chooser) nearest(g *group, class ffconfig.Class, near set, now time.Time) (int, float64) {
	i, cost := c.better(g, class, near, now)
	if c.Off.NoOwn || !near.has(ownMember) || !g.own || i == ownMember {
		return i, cost
	}
	if own := c.cost(g, ownMember, class, now); own <= cost+hopPenalty {
		return ownMember, own
	}
	return i, cost
}

// better returns the cheaper of two members drawn from a set, with its cost in nanoseconds.
func (c *Chooser) better(g *group, class ffconfig.Class, s set, now time.Time) (int, float64) {
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

func (c *Chooser) cost(g *group, i int, class ffconfig.Class, now time.Time) float64 {
	usual := max(float64(g.usual[class].Load()), minLatency)
	if g.remote.has(i) && !g.local.empty() {
		usual += remotePenalty
	}
	return g.members[i].facts.cost(class, usual, !c.Off.NoLoad, now)
}

// draw returns random bits.
func (c *Chooser) draw() uint64 {
	if c.Draw != nil {
		return c.Draw()
	}
	return mix(c.draws.Add(1))
}

// mix returns the n-th number of a fixed sequence that looks random.
func mix(n uint64) uint64 {
	n *= 0x9e3779b97f4a7c15
	n = (n ^ n>>30) * 0xbf58476d1ce4e5b9
	n = (n ^ n>>27) * 0x94d049bb133111eb
	return n ^ n>>31
}
