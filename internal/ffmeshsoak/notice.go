package ffmeshsoak

import (
	"time"

	"fireflyfall.dev/fireflyfall/platform/ffstandin"
)

// Bounds of the platform's rules on what targets say of themselves.
const (
	// limitBindsAfter is the time from the first answer with a limit until it binds.
	limitBindsAfter = 3 * time.Second
	// passedOnBefore is the time since a VM passed on an answer, from which on its
	// requests count.
	passedOnBefore = 500 * time.Millisecond
	// limitWindow, limitFactor and limitAllowance bound the requests at a target.
	limitWindow    = 4 * time.Second
	limitFactor    = 1.5
	limitAllowance = 5
)

// checkLimit checks that a target gets no more requests than the limit that it named
// allows, of the VMs that had passed on such an answer.
func (c *checker) checkLimit(h ExecutedEvent) {
	var counted []time.Time
	c.eachRun(h.Target, func(a Attempt, r ffstandin.Run) {
		if r.At.After(h.Began.Add(limitBindsAfter)) && r.At.Before(h.Ended) && c.passedOn(a.VM, h.Target, r.At, passedOnBefore, Attempt.named) {
			counted = append(counted, r.At)
		}
	})
	allowed := int(limitFactor*targetLimit*limitWindow.Seconds()) + limitAllowance
	for _, from := range counted {
		n := 0
		for _, at := range counted {
			if !at.Before(from) && at.Before(from.Add(limitWindow)) {
				n++
			}
		}
		if n > allowed {
			c.report(PromiseLimit, "%s got %d requests in %v from %v after it named a limit, %d allowed", h.Target, n, limitWindow, from.Sub(h.Began), allowed)
			return
		}
	}
}

// checkSaidLeaving checks that a target gets no request that was sent to a VM later than
// leaveLimit after that VM had passed on an answer in which the target said that it leaves.
func (c *checker) checkSaidLeaving(h ExecutedEvent) {
	c.eachRun(h.Target, func(a Attempt, r ffstandin.Run) {
		if c.passedOn(a.VM, h.Target, a.Sent, leaveLimit, Attempt.left) {
			c.report(PromiseLeaving, "%s, sent to VM %d, was executed by %s %v after it said that it leaves", a.ID, a.VM, h.Target, r.At.Sub(h.Began))
		}
	})
}

func (a Attempt) named() bool { return a.Limited }

func (a Attempt) left() bool { return a.Leaving }

// eachRun calls do with each execution at a target and its request.
func (c *checker) eachRun(target string, do func(Attempt, ffstandin.Run)) {
	for _, a := range c.rec.Attempts {
		for _, r := range c.rec.Runs[a.ID] {
			if r.Target == target {
				do(a, r)
			}
		}
	}
}

// passedOn reports whether a VM had passed on an answer of a target for which said holds
// at least before the time at, and was not restarted or frozen since.
func (c *checker) passedOn(vm int, target string, at time.Time, before time.Duration, said func(Attempt) bool) bool {
	for _, a := range c.rec.Attempts {
		if a.VM == vm && a.Signer == target && said(a) && !a.Ended.After(at.Add(-before)) && !c.interrupted(vm, a.Sent, at) {
			return true
		}
	}
	return false
}

// interrupted reports whether the daemon of a VM was killed, stopped or frozen in a span.
func (c *checker) interrupted(vm int, from, to time.Time) bool {
	for _, h := range c.rec.Happenings {
		if h.VM == vm && (h.Fault == FaultKill || h.Fault == FaultStop || h.Fault == FaultFreeze) && h.Began.Before(to) && h.Ended.After(from) {
			return true
		}
	}
	return false
}
