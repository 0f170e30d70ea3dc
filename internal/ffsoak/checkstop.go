package ffsoak

import (
	"slices"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffstand"
	"fireflyfall.dev/fireflyfall/pkg/ffclient"
)

const (
	// leavingBound is the time after which a leaving target gets no new work.
	leavingBound = 2 * time.Second
	// leavingSlack allows for the time at which the soak itself is run by the machine.
	leavingSlack = 500 * time.Millisecond
	// vmLag is how long the platform hides changes of its VM list.
	vmLag = time.Second
	// deadlineSlack is how much before its deadline a call counts as cut by something else.
	deadlineSlack = 200 * time.Millisecond
)

// checkLeaving judges that a leaving target gets no call that began after the
// bound. It may have work from before in flight all the while.
func checkLeaving(x *index) Finding {
	f := Finding{Promise: PromiseLeaving}
	for i := range x.Faults {
		fault := &x.Faults[i]
		switch fault.Kind {
		case FaultPlannedStop:
			x.checkNewWork(&f, fault, fault.Began.Add(leavingBound+leavingSlack), fault.Stopped, false)
		case FaultListedLeaving:
			x.checkNewWork(&f, fault, fault.Began.Add(vmLag+leavingBound+leavingSlack), fault.Ended, true)
		default:
		}
	}
	return f
}

// checkNewWork judges the executions that began between two times at the VM of a
// fault. Where only the platform's list tells that the VM leaves, faults that
// keep the entry from the list excuse it.
func (x *index) checkNewWork(f *Finding, fault *Injected, from, until time.Time, byList bool) {
	vm := fault.VMs[0]
	if byList && x.listUnreadable(fault, from) {
		return
	}
	for _, e := range x.Executions {
		c := x.calls[keyOf(e.Path)]
		if e.Target != vm || c == nil || c.Started.Before(from) || e.Started.After(until) {
			continue
		}
		if byList && x.disturbed(c, fault) {
			continue
		}
		f.violated("a leaving target got new work", line("leaving", fault), line("call", c), line("execution", e))
	}
	f.exercised(x.wanted(x.vms[vm].Service, from, until))
}

// listUnreadable reports whether the platform or links failed while the list told of the VM.
func (x *index) listUnreadable(fault *Injected, until time.Time) bool {
	return slices.ContainsFunc(x.Faults, func(f Injected) bool {
		return (f.Kind.ofPlatform() || f.Kind.ofLink() || f.Kind.ofProcess()) && f.overlaps(fault.Began, until)
	})
}

// wanted reports whether a call that began between two times ran at the service.
func (x *index) wanted(service string, from, until time.Time) bool {
	return slices.ContainsFunc(x.Executions, func(e ffstand.Execution) bool {
		return x.vms[e.Target].Service == service && e.Started.After(from) && e.Started.Before(until)
	})
}

// checkGracefulStop judges that a planned stop cuts no call in flight, neither at
// its target nor of its callers, and ends with status 0.
func checkGracefulStop(x *index) answerFindings {
	f := answerFindings{Finding: Finding{Promise: PromiseGracefulStop}}
	for i := range x.Faults {
		fault := &x.Faults[i]
		if fault.Kind != FaultPlannedStop {
			continue
		}
		if fault.Failure != "" {
			f.violated("a planned stop did not end well", line("stop", fault))
		}
		for j := range x.Calls {
			x.checkInFlight(&f, fault, &x.Calls[j])
		}
	}
	return f
}

// checkInFlight judges one call against one planned stop.
func (x *index) checkInFlight(f *answerFindings, fault *Injected, c *Call) {
	vm := fault.VMs[0]
	if c.Crash || !c.Started.Before(fault.Stopped) || !c.Ended.After(fault.Began) || x.disturbed(c, fault) {
		return
	}
	inTime := c.Deadline.Add(-deadlineSlack)
	for _, e := range x.runsOf(c, vm) {
		if e.Started.After(fault.Began) || (!e.Ended.IsZero() && e.Ended.Before(fault.Began)) {
			continue
		}
		f.exercised(true)
		if c.Outcome != ffclient.OutcomeRan && (e.Ended.IsZero() || e.Ended.Before(inTime)) {
			f.cut++
			f.violated(append([]string{"a planned stop cut a call in flight", line("stop", fault), line("call", c)}, linesOf(x.byKey[c.Key])...)...)
		}
	}
	if x.lostElsewhere(c, fault) || refusedByEntry(c) {
		return
	}
	if c.Entry == vm && c.Started.Before(fault.Began) && c.Outcome == ffclient.OutcomeUnknown && c.Ended.Before(inTime) {
		f.cut++
		f.violated(append([]string{"a planned stop cut a caller off", line("stop", fault), line("call", c)}, linesOf(x.byKey[c.Key])...)...)
	}
}

// refusedByEntry reports whether the entry itself refused a call with a token,
// for a reason that no stop brings about. The outcome is unknown then, since only
// the gate of the token may say that the call did not run.
func refusedByEntry(c *Call) bool { return c.Token && slices.Contains(settled, c.Reason) }

// lostElsewhere reports whether the entry answered that the outcome is unknown
// while some gate was down, cut off or without its target: no target ran the
// call, so nothing tells which gate it waited at.
func (x *index) lostElsewhere(c *Call, stop *Injected) bool {
	if c.Status == 0 || len(x.byKey[c.Key]) > 0 {
		return false
	}
	return slices.ContainsFunc(x.Faults, func(f Injected) bool {
		return !f.is(*stop) && !f.Kind.ofPlatform() && f.overlaps(c.Started, c.Ended)
	})
}
