package ffsoak

import (
	"fmt"
	"slices"
	"time"
)

const (
	// convergenceBound is the time within which every daemon must apply an accepted version.
	convergenceBound = 5 * time.Second
	// convergenceSlack allows for the sampling interval.
	convergenceSlack = 500 * time.Millisecond
	// minPublished is how long a version must be current on the platform, if a
	// faulty one follows, for its convergence to be checked.
	minPublished = time.Second
)

// convergence is the finding on convergence, with the longest time measured.
type convergence struct {
	Finding
	slowest time.Duration
}

// checkConvergence checks that every daemon applies each accepted version, or a
// newer one, within the bound, counted from its publication or from the end
// of the last fault that prevented the daemon from reading it.
func checkConvergence(x *index) convergence {
	c := convergence{Finding: Finding{Promise: PromiseConvergence}}
	for i := range x.Publications {
		for _, vm := range x.VMs {
			x.checkReached(&c, i, vm.Name)
		}
	}
	x.checkFinal(&c)
	return c
}

func (x *index) checkReached(c *convergence, i int, vm string) {
	p := x.Publications[i]
	samples := x.samples[vm]
	if len(samples) == 0 {
		c.violated("the daemon of " + vm + " never answered")
		return
	}
	from := x.reachableFrom(vm, later(p.At, samples[0].Asked))
	due := from.Add(convergenceBound)
	if p.Faulty || !x.readable(i, from) || due.Add(convergenceSlack).After(x.Ended) {
		return
	}
	n := slices.IndexFunc(samples, func(s Sample) bool { return s.Ready && s.At.After(p.At) && !p.Version.NewerThan(s.Version) })
	if n < 0 || samples[n].At.After(due.Add(convergenceSlack)) {
		trace := []string{
			fmt.Sprintf("the daemon of %s did not have version %s in force %s after it could", vm, p.Version, convergenceBound),
			fmt.Sprintf("published at %s, reachable from %s", p.At.Format(time.RFC3339Nano), from.Format(time.RFC3339Nano)),
		}
		if last, ok := x.lastBefore(vm, due); ok {
			trace = append(trace, line("status", last))
		}
		c.violated(trace...)
		return
	}
	c.slowest = max(c.slowest, samples[n].At.Sub(from))
	c.exercised(true)
}

// reachableFrom returns the time from which no fault prevents a daemon from
// reading a version for at least convergenceBound.
func (x *index) reachableFrom(vm string, from time.Time) time.Time {
	for again := true; again; {
		again = false
		for _, f := range x.Faults {
			if (f.Kind.ofPlatform() || x.affectsVM(f, vm)) && f.overlaps(from, from.Add(convergenceBound)) && f.Ended.After(from) {
				from = f.Ended
				again = true
			}
		}
	}
	return from
}

// readable reports whether daemons could read publication i, or a newer one,
// starting at from: the version then current on the platform was complete and
// stayed long enough, or was followed by a complete one. Of two conflicting
// versions, the first may never have been read.
func (x *index) readable(i int, from time.Time) bool {
	current := i
	for current+1 < len(x.Publications) && !x.Publications[current+1].At.After(from) {
		current++
	}
	if current == i && x.conflictFollows(i) {
		return false
	}
	if x.Publications[current].Faulty || x.Publications[i].Version.NewerThan(x.Publications[current].Version) {
		return false
	}
	next := current + 1
	return next == len(x.Publications) || !x.Publications[next].Faulty || x.Publications[next].At.After(from.Add(minPublished))
}

// conflictFollows reports whether the next publication has the same number.
func (x *index) conflictFollows(i int) bool {
	return i+1 < len(x.Publications) && x.Publications[i].Version.ConflictsWith(x.Publications[i+1].Version)
}

// checkFinal checks that all daemons have the newest version at the end.
func (x *index) checkFinal(c *convergence) {
	if len(x.Publications) == 0 {
		return
	}
	newest := x.Publications[len(x.Publications)-1].Version
	for _, vm := range x.VMs {
		last, ok := x.lastBefore(vm.Name, x.Ended)
		if ok && last.Version != newest {
			c.violated(fmt.Sprintf("in the end the daemon of %s does not have version %s in force", vm.Name, newest), line("status", last))
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
