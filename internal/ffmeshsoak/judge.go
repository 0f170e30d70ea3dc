package ffmeshsoak

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Promise is one promise to the users.
type Promise int

// Promises.
const (
	PromiseOnce      Promise = iota // once
	PromiseNotRun                   // notRun
	PromiseComplete                 // whole
	PromiseRouted                   // routed
	PromiseNoOlder                  // noOlder
	PromiseActive                   // inForce
	PromiseLeaving                  // leaving
	PromiseStop                     // plannedStop
	PromiseRecovers                 // recovers
	PromiseLimit                    // limit
	PromiseUnchanged                // unchanged
	PromiseCold                     // cold
	PromiseEvacuated                // evacuated
)

// Violation is a violation of a promise.
type Violation struct {
	Promise Promise
	Message string
}

const (
	// publishLimit and leaveLimit are the limits in the platform's settings: for a new
	// version to be active, and for the last request at a leaving target.
	publishLimit = 2 * time.Second
	leaveLimit   = 2 * time.Second
	// quietBefore is the time before an event in which no other fault may have occurred;
	// otherwise the limit of the event is not checked.
	quietBefore = 3 * time.Second
	// recoveryLimit is the time limit for recovery after the last fault.
	recoveryLimit = 4 * time.Second
	// minServed is the minimum share of requests with status 200 after recovery.
	minServed = 0.95
)

// Check returns every violation found in a record.
func Check(rec *Record) []Violation {
	c := &checker{rec: rec}
	shown := make(map[int]int)
	served, total := 0, 0
	unserved := make(map[string]int)
	for _, a := range sortedByEnd(rec.Attempts) {
		c.checkAttempt(a)
		c.checkNoOlder(a, shown)
		if a.Sent.After(rec.Faulty.Add(recoveryLimit)) && a.Version == 0 && !a.Left {
			total++
			if a.Status == http.StatusOK {
				served++
			} else {
				unserved[fmt.Sprintf("VM %d status %d", a.VM, a.Status)]++
			}
		}
	}
	if float64(served) < minServed*float64(total) || total == 0 {
		c.report(PromiseRecovers, "%d of %d requests served after recovery from the last fault; not served: %v", served, total, unserved)
	}
	for _, h := range rec.Happenings {
		c.checkHappening(h)
	}
	c.checkOverruns()
	return c.breaches
}

// checker checks a record and collects the violations.
type checker struct {
	rec      *Record
	breaches []Violation
}

// report adds a violation with a formatted message.
func (c *checker) report(p Promise, format string, values ...any) {
	c.breaches = append(c.breaches, Violation{Promise: p, Message: fmt.Sprintf(format, values...)})
}

// sortedByEnd returns the attempts sorted by end time.
func sortedByEnd(all []Attempt) []Attempt {
	all = slices.Clone(all)
	slices.SortFunc(all, func(a, b Attempt) int { return a.Ended.Compare(b.Ended) })
	return all
}

// checkAttempt checks the promises that concern a single request.
func (c *checker) checkAttempt(a Attempt) {
	runs := c.rec.Runs[a.ID]
	if a.Once && len(runs) > 1 {
		c.report(PromiseOnce, "%s was executed %d times", a.ID, len(runs))
	}
	for _, r := range runs {
		if !r.Eager && sumOf(r.Body) != a.Sum {
			c.report(PromiseUnchanged, "%s was executed with another body, of %d bytes", a.ID, len(r.Body))
		}
	}
	switch a.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if a.Once && len(runs) > 0 {
			c.report(PromiseNotRun, "%s was refused with status %d and executed", a.ID, a.Status)
		}
	case http.StatusOK:
		if a.Signer == "" || a.Body != a.ID || len(runs) == 0 {
			c.report(PromiseComplete, "%s got body %q signed by target %q after %d executions", a.ID, a.Body, a.Signer, len(runs))
		}
	case http.StatusNotFound:
		if a.Version == 0 {
			c.report(PromiseRouted, "%s got 404 on a permanent route", a.ID)
		}
	}
}

// checkNoOlder checks that no daemon goes back to a version older than one that it served.
// shown holds the highest version served by the current daemon process of each VM; a kill
// or a planned stop during the request resets it.
func (c *checker) checkNoOlder(a Attempt, shown map[int]int) {
	if a.Version == 0 {
		return
	}
	for _, h := range c.rec.Happenings {
		if h.VM == a.VM && (h.Fault == FaultKill || h.Fault == FaultStop) && a.Ended.After(h.Began) && a.Sent.Before(h.Ended) {
			shown[a.VM] = 0
			return
		}
	}
	switch a.Status {
	case http.StatusOK:
		shown[a.VM] = max(shown[a.VM], a.Version)
	case http.StatusNotFound:
		if highest := shown[a.VM]; highest >= a.Version {
			c.report(PromiseNoOlder, "%s got 404 for version %d after version %d was served on VM %d", a.ID, a.Version, highest, a.VM)
		}
	}
}

// checkHappening checks the promises that concern planned operations.
func (c *checker) checkHappening(h ExecutedEvent) {
	switch h.Fault {
	case FaultVersion:
		c.checkPublish(h)
	case FaultLeave:
		c.checkLeave(h)
	case FaultTargetLimit:
		c.checkLimit(h)
	case FaultTargetSaysLeaving:
		c.checkSaidLeaving(h)
	case FaultStop:
		c.checkStop(h)
	case FaultEvacuation:
		c.checkEvacuation(h)
	}
}

// undisturbed reports whether no other fault or operation except new versions overlaps the
// time from quietBefore before h until to.
func (c *checker) undisturbed(h ExecutedEvent, to time.Time) bool {
	for _, o := range c.rec.Happenings {
		if o != h && o.Fault != FaultVersion && o.Began.Before(to) && o.Ended.After(h.Began.Add(-quietBefore)) {
			return false
		}
	}
	return true
}

// checkPublish checks that a published version is active in time.
func (c *checker) checkPublish(h ExecutedEvent) {
	from := h.Ended.Add(publishLimit)
	for _, a := range c.rec.Attempts {
		if a.Version == h.Version && a.Status == http.StatusNotFound && a.Sent.After(from) && c.undisturbed(h, a.Sent) {
			c.report(PromiseActive, "%s got 404 %v after version %d was published", a.ID, a.Sent.Sub(h.Ended), h.Version)
		}
	}
}

// checkLeave checks that a leaving target gets no request after the limit.
func (c *checker) checkLeave(h ExecutedEvent) {
	for id, runs := range c.rec.Runs {
		for _, r := range runs {
			if r.Target == h.Target && r.At.After(h.Began.Add(leaveLimit)) && c.undisturbed(h, r.At) {
				c.report(PromiseLeaving, "%s was executed by %s %v after the target announced that it leaves", id, h.Target, r.At.Sub(h.Began))
			}
		}
	}
}

// checkStop checks that a planned stop succeeds and that no executed request loses its
// response.
func (c *checker) checkStop(h ExecutedEvent) {
	if h.Failed != "" {
		c.report(PromiseStop, "VM %d: %s", h.VM, h.Failed)
	}
	for _, a := range c.rec.Attempts {
		if a.VM != h.VM || a.Sent.After(h.Ended) || a.Ended.Before(h.Began) || a.Status != 0 || a.Left {
			continue
		}
		if len(c.rec.Runs[a.ID]) > 0 && c.undisturbed(h, a.Ended) {
			c.report(PromiseStop, "%s was executed but got no response because of a planned stop", a.ID)
		}
	}
}
