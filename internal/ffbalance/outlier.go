package ffbalance

import (
	"cmp"
	"slices"
	"time"
)

// minCompared is the number of members with samples below which no latency is usual.
const minCompared = 3

// staleSample is the age from which a latency no longer counts for the median.
const staleSample = 30 * time.Second

// median returns the lower median of the members' latencies for each class, in
// nanoseconds; zero when too few have any.
func (g *group) median(members set, now time.Time) [classes]float64 {
	var usual [classes]float64
	for class := range usual {
		var latencies []float64
		for s := members; !s.empty(); s = s.without(s.first()) {
			if l := g.members[s.first()].facts.recentLatency(class, now); l > 0 {
				latencies = append(latencies, l)
			}
		}
		if len(latencies) < minCompared {
			continue
		}
		slices.Sort(latencies)
		usual[class] = latencies[(len(latencies)-1)/2]
	}
	return usual
}

func (f *facts) recentLatency(class int, now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := &f.classes[class]
	if now.Sub(c.sampledAt) > staleSample {
		return 0
	}
	return c.latency
}

// suspect is a member that is off its neighbours.
type suspect struct {
	index int
	// degree tells how far it is off.
	degree float64
}

// shunned returns the worst outliers among the members, at most one in three.
// A member stays shunned until its probes are good.
func (g *group) shunned(members set, now time.Time) set {
	usual := g.median(members, now)
	var suspects []suspect
	for s := members; !s.empty(); s = s.without(s.first()) {
		f := g.members[s.first()].facts
		degree := f.outlier(usual, now)
		if degree > 1 || f.isShunned() {
			suspects = append(suspects, suspect{index: s.first(), degree: degree})
		}
	}
	slices.SortStableFunc(suspects, func(a, b suspect) int { return cmp.Compare(b.degree, a.degree) })
	suspects = suspects[:min(len(suspects), members.size()/maxShunnedFraction)]
	var worst set
	for _, s := range suspects {
		worst = worst.with(s.index)
	}
	for s := members; !s.empty(); s = s.without(s.first()) {
		g.members[s.first()].facts.setShunned(worst.has(s.first()), usual, now)
	}
	return worst
}
