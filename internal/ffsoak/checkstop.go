package ffsoak

import (
	"slices"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffstand"
	"fireflyfall.dev/fireflyfall/pkg/ffclient"
)

const (
	// leavingBound is the time after which a leaving target must get no new work.
	leavingBound = 2 * time.Second
	// leavingSlack allows for scheduling delays of the soak process itself.
	leavingSlack = 500 * time.Millisecond
	// vmLag is the delay after which the platform shows changes of its VM list.
	vmLag = time.Second
	// deadlineSlack is the margin before its deadline within which a failed call is
	// attributed to the deadline.
	deadlineSlack = 200 * time.Millisecond
)

// checkLeaving checks that a leaving target gets no call that began after the
// bound. Earlier work may still be in flight.
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

// checkNewWork checks the executions that began between two times at the VM of a
// fault. With byList, only the platform's list shows that the VM is leaving, and
// faults that prevent the entry from reading the list excuse new work.
func (x *index) checkNewWork(f *Finding, fault *InjectedFault, from, until time.Time, byList bool) {
	vm := fault.VMs[0]
	if byList && x.listUnreadable(fault, from) {
		return
	}
	for _, e := range x.Executions {
		c := x.calls[keyOf(e.Path)]
		if e.Target != vm || c == nil || c.Started.Before(from) || e.Started.After(until) {
			continue
		}
		if byList && x.affectedByFault(c, fault) {
			continue
		}
		f.violated("a leaving target got new work", line("leaving", fault), line("call", c), line("execution", e))
	}
	f.exercised(x.hadCalls(x.vms[vm].Service, from, until))
}

// listUnreadable reports whether the platform, links or daemons had faults
// between the start of the fault and until, while the list showed the VM as leaving.
func (x *index) listUnreadable(fault *InjectedFault, until time.Time) bool {
	return slices.ContainsFunc(x.Faults, func(f InjectedFault) bool {
		return (f.Kind.ofPlatform() || f.Kind.ofLink() || f.Kind.ofProcess()) && f.overlaps(fault.Began, until)
	})
}

// hadCalls reports whether the service started a call between two times.
func (x *index) hadCalls(service string, from, until time.Time) bool {
	return slices.ContainsFunc(x.Executions, func(e ffstand.Execution) bool {
		return x.vms[e.Target].Service == service && e.Started.After(from) && e.Started.Before(until)
	})
}

// checkGracefulStop checks that a planned stop cuts no call in flight, neither at
// its target nor for its callers, and ends with status 0.
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

// checkInFlight checks one call against one planned stop.
func (x *index) checkInFlight(f *answerFindings, fault *InjectedFault, c *Call) {
	vm := fault.VMs[0]
	if c.Crash || !c.Started.Before(fault.Stopped) || !c.Ended.After(fault.Began) || x.affectedByFault(c, fault) {
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
// for a reason that no stop causes. The outcome is unknown then, since only
// the gate of the token may say that the call did not run.
func refusedByEntry(c *Call) bool { return c.Token && slices.Contains(preSendReasons, c.Reason) }

// lostElsewhere reports whether the entry answered that the outcome is unknown
// while some gate was down, cut off or without its target: no target ran the
// call, so the gate where it waited is unknown.
func (x *index) lostElsewhere(c *Call, stop *InjectedFault) bool {
	if c.Status == 0 || len(x.byKey[c.Key]) > 0 {
		return false
	}
	return slices.ContainsFunc(x.Faults, func(f InjectedFault) bool {
		return !f.is(*stop) && !f.Kind.ofPlatform() && f.overlaps(c.Started, c.Ended)
	})
}
