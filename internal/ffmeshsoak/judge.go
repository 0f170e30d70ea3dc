package ffmeshsoak

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Promise is one promise of the users.
type Promise int

// Promises.
const (
	PromiseOnce     Promise = iota // once
	PromiseNotRun                  // notRun
	PromiseWhole                   // whole
	PromiseRouted                  // routed
	PromiseNoOlder                 // noOlder
	PromiseInForce                 // inForce
	PromiseLeaving                 // leaving
	PromiseStop                    // plannedStop
	PromiseRecovers                // recovers
)

// Breach is one promise broken.
type Breach struct {
	Promise Promise
	What    string
}

const (
	// inForceWithin and leavingWithin are the bounds of the platform's settings.
	inForceWithin = 2 * time.Second
	leavingWithin = 2 * time.Second
	// calmBefore is how long no fault may have harmed anything for a bound to count.
	calmBefore = 3 * time.Second
	// recoverWithin is the bound of recovery after the last fault.
	recoverWithin = 4 * time.Second
	// leastServed is the part of the requests that is served at least after that.
	leastServed = 0.95
)

// Judge returns every breach that a record shows.
func Judge(rec *Record) []Breach {
	j := &judge{rec: rec}
	older := make(map[int]int)
	served, late := 0, 0
	unserved := make(map[string]int)
	for _, a := range sorted(rec.Attempts) {
		j.attempt(a)
		j.version(a, older)
		if a.Sent.After(rec.Faulty.Add(recoverWithin)) && a.Version == 0 {
			late++
			if a.Status == http.StatusOK {
				served++
			} else {
				unserved[fmt.Sprintf("VM %d status %d", a.VM, a.Status)]++
			}
		}
	}
	if float64(served) < leastServed*float64(late) || late == 0 {
		j.breach(PromiseRecovers, "%d of %d requests served after the last fault, not %v", served, late, unserved)
	}
	for _, h := range rec.Happenings {
		j.happening(h)
	}
	return j.breaches
}

type judge struct {
	rec      *Record
	breaches []Breach
}

func (j *judge) breach(p Promise, format string, values ...any) {
	j.breaches = append(j.breaches, Breach{Promise: p, What: fmt.Sprintf(format, values...)})
}

// sorted returns the attempts in the order in which they ended.
func sorted(all []Attempt) []Attempt {
	all = slices.Clone(all)
	slices.SortFunc(all, func(a, b Attempt) int { return a.Ended.Compare(b.Ended) })
	return all
}

// attempt judges what holds for each request by itself.
func (j *judge) attempt(a Attempt) {
	runs := j.rec.Runs[a.ID]
	if a.Once && len(runs) > 1 {
		j.breach(PromiseOnce, "%s ran %d times", a.ID, len(runs))
	}
	switch a.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if a.Once && len(runs) > 0 {
			j.breach(PromiseNotRun, "%s was refused with %d and ran", a.ID, a.Status)
		}
	case http.StatusOK:
		if a.Signer == "" || a.Body != a.ID || len(runs) == 0 {
			j.breach(PromiseWhole, "%s got %q of target %q after %d runs", a.ID, a.Body, a.Signer, len(runs))
		}
	case http.StatusNotFound:
		if a.Version == 0 {
			j.breach(PromiseRouted, "%s got 404 on a lasting route", a.ID)
		}
	}
}

// version judges that no daemon falls behind a version that it showed. older holds
// the greatest version that the present process on each VM showed.
func (j *judge) version(a Attempt, older map[int]int) {
	if a.Version == 0 {
		return
	}
	for _, h := range j.rec.Happenings {
		if h.VM == a.VM && (h.Fault == FaultKill || h.Fault == FaultStop) && a.Ended.After(h.Began) && a.Sent.Before(h.Ended) {
			older[a.VM] = 0
			return
		}
	}
	switch a.Status {
	case http.StatusOK:
		older[a.VM] = max(older[a.VM], a.Version)
	case http.StatusNotFound:
		if shown := older[a.VM]; shown >= a.Version {
			j.breach(PromiseNoOlder, "%s got 404 for version %d after version %d was shown on VM %d", a.ID, a.Version, shown, a.VM)
		}
	}
}

// happening judges what planned work promises.
func (j *judge) happening(h Happening) {
	switch h.Fault {
	case FaultVersion:
		j.inForce(h)
	case FaultLeave:
		j.left(h)
	case FaultStop:
		j.stopped(h)
	}
}

// calm reports whether nothing but h harmed anything from calmBefore until to.
func (j *judge) calm(h Happening, to time.Time) bool {
	for _, o := range j.rec.Happenings {
		if o != h && o.Fault != FaultVersion && o.Began.Before(to) && o.Ended.After(h.Began.Add(-calmBefore)) {
			return false
		}
	}
	return true
}

func (j *judge) inForce(h Happening) {
	from := h.Ended.Add(inForceWithin)
	for _, a := range j.rec.Attempts {
		if a.Version == h.Version && a.Status == http.StatusNotFound && a.Sent.After(from) && j.calm(h, a.Sent) {
			j.breach(PromiseInForce, "%s got 404 %v after version %d was published", a.ID, a.Sent.Sub(h.Ended), h.Version)
		}
	}
}

func (j *judge) left(h Happening) {
	for id, runs := range j.rec.Runs {
		for _, r := range runs {
			if r.Target == h.Target && r.At.After(h.Began.Add(leavingWithin)) && j.calm(h, r.At) {
				j.breach(PromiseLeaving, "%s reached %s %v after it said that it leaves", id, h.Target, r.At.Sub(h.Began))
			}
		}
	}
}

func (j *judge) stopped(h Happening) {
	if h.Failed != "" {
		j.breach(PromiseStop, "VM %d: %s", h.VM, h.Failed)
	}
	for _, a := range j.rec.Attempts {
		if a.VM != h.VM || a.Sent.After(h.Ended) || a.Ended.Before(h.Began) || a.Status != 0 {
			continue
		}
		if len(j.rec.Runs[a.ID]) > 0 && j.calm(h, a.Ended) {
			j.breach(PromiseStop, "%s ran and was cut by a planned stop", a.ID)
		}
	}
}
