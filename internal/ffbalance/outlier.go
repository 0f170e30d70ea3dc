package ffbalance

import (
	"cmp"
	"slices"
	"time"
)

// minSampledMembers is the minimum number of members with samples for computing a
// median latency.
const minSampledMembers = 3

// maxSampleAge is the age above which a latency is left out of the median.
const maxSampleAge = 30 * time.Second

// median returns the lower median of the members' latencies for each class, in
// nanoseconds; zero if fewer than minSampledMembers have a recent one.
func (g *group) median(members set, now time.Time) [classes]float64 {
	var medians [classes]float64
	for class := range medians {
		var latencies []float64
		for s := members; !s.empty(); s = s.without(s.first()) {
			if l := g.members[s.first()].stats.recentLatency(class, now); l > 0 {
				latencies = append(latencies, l)
			}
		}
		if len(latencies) < minSampledMembers {
			continue
		}
		slices.Sort(latencies)
		medians[class] = latencies[(len(latencies)-1)/2]
	}
	return medians
}

func (t *targetStats) recentLatency(class int, now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &t.classes[class]
	if now.Sub(c.sampledAt) > maxSampleAge {
		return 0
	}
	return c.latency
}

// suspect is a member that is an outlier or already ejected.
type suspect struct {
	index int
	// degree is its outlierDegree.
	degree float64
}

// ejectOutliers ejects the worst outliers among the members, at most one in
// three, and returns the ejected members. A member stays ejected until its probes
// succeed or worse outliers take its place.
func (g *group) ejectOutliers(members set, now time.Time) set {
	medians := g.median(members, now)
	var suspects []suspect
	for s := members; !s.empty(); s = s.without(s.first()) {
		t := g.members[s.first()].stats
		degree := t.outlierDegree(medians, now)
		if degree > 1 || t.isEjected() {
			suspects = append(suspects, suspect{index: s.first(), degree: degree})
		}
	}
	slices.SortStableFunc(suspects, func(a, b suspect) int { return cmp.Compare(b.degree, a.degree) })
	suspects = suspects[:min(len(suspects), members.size()/targetsPerEjection)]
	var worst set
	for _, s := range suspects {
		worst = worst.with(s.index)
	}
	for s := members; !s.empty(); s = s.without(s.first()) {
		g.members[s.first()].stats.setEjected(worst.has(s.first()), medians, now)
	}
	return worst
}
