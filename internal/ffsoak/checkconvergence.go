package ffsoak

import (
	"fmt"
	"slices"
	"time"
)

const (
	// convergenceBound is the time within which an accepted version is in force.
	convergenceBound = 5 * time.Second
	// convergenceSlack allows for the interval of the samples.
	convergenceSlack = 500 * time.Millisecond
	// replacedAfter is how long a version must stand on the platform to be judged.
	replacedAfter = time.Second
)

// convergence is the finding on convergence with the slowest one seen.
type convergence struct {
	Finding
	slowest time.Duration
}

// checkConvergence judges that each accepted version, or a newer one, is in force
// in every daemon within the bound, counted from its publication or from the end
// of the last fault that kept the daemon from it.
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

// reachableFrom returns the time from which nothing keeps a daemon from a
// version, at least for the bound.
func (x *index) reachableFrom(vm string, from time.Time) time.Time {
	for again := true; again; {
		again = false
		for _, f := range x.Faults {
			if (f.Kind.ofPlatform() || x.concernsVM(f, vm)) && f.overlaps(from, from.Add(convergenceBound)) && f.Ended.After(from) {
				from = f.Ended
				again = true
			}
		}
	}
	return from
}

// readable reports whether daemons could read the version with this index, or a
// newer one, from a time on: what stood on the platform then was whole and stayed
// long enough, or was followed by a whole one. Of two that race, the first may
// never have been read.
func (x *index) readable(i int, from time.Time) bool {
	current := i
	for current+1 < len(x.Publications) && !x.Publications[current+1].At.After(from) {
		current++
	}
	if current == i && x.rivalFollows(i) {
		return false
	}
	if x.Publications[current].Faulty || x.Publications[i].Version.NewerThan(x.Publications[current].Version) {
		return false
	}
	next := current + 1
	return next == len(x.Publications) || !x.Publications[next].Faulty || x.Publications[next].At.After(from.Add(replacedAfter))
}

// rivalFollows reports whether the next publication has the same number.
func (x *index) rivalFollows(i int) bool {
	return i+1 < len(x.Publications) && x.Publications[i].Version.ConflictsWith(x.Publications[i+1].Version)
}

// checkFinal judges that in the end all daemons have the same and newest version.
func (x *index) checkFinal(c *convergence) {
	if len(x.Publications) == 0 {
		return
	}
	newest := x.Publications[len(x.Publications)-1].Version
	for _, vm := range x.VMs {
		last, ok := x.lastBefore(vm.Name, x.Ended)
		if ok && last.Version != newest {
			c.violated(fmt.Sprintf("in the end the daemon of %s has not version %s in force", vm.Name, newest), line("status", last))
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
