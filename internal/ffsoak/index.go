package ffsoak

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffstand"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// index is a record with lookup tables for the checks.
type index struct {
	*Record
	vms map[string]ffmember.VM
	// byVersion maps the text form of a version, as in logs and answers, to its
	// publication.
	byVersion map[string]*Publication
	// byKey maps the key of a call to its executions, byCallID the call's identifier.
	byKey    map[string][]ffstand.Execution
	byCallID map[string][]ffstand.Execution
	byAnswer map[ffconfig.Digest]ffstand.Execution
	calls    map[string]*Call
	// samples maps a VM to its samples, ordered by Asked.
	samples map[string][]Sample
}

func newIndex(r *Record) *index {
	x := &index{
		Record:    r,
		vms:       make(map[string]ffmember.VM),
		byVersion: make(map[string]*Publication),
		byKey:     make(map[string][]ffstand.Execution),
		byCallID:  make(map[string][]ffstand.Execution),
		byAnswer:  make(map[ffconfig.Digest]ffstand.Execution),
		calls:     make(map[string]*Call),
		samples:   make(map[string][]Sample),
	}
	for _, vm := range r.VMs {
		x.vms[vm.Name] = vm
	}
	for i, p := range r.Publications {
		x.byVersion[p.Version.String()] = &r.Publications[i]
	}
	for _, e := range r.Executions {
		x.addExecution(e)
	}
	for i, c := range r.Calls {
		x.calls[c.Key] = &r.Calls[i]
	}
	for _, s := range r.Samples {
		x.samples[s.VM] = append(x.samples[s.VM], s)
	}
	for _, samples := range x.samples {
		slices.SortStableFunc(samples, func(a, b Sample) int { return a.Asked.Compare(b.Asked) })
	}
	return x
}

func (x *index) addExecution(e ffstand.Execution) {
	key := keyOf(e.Path)
	x.byKey[key] = append(x.byKey[key], e)
	call, _, _ := strings.Cut(e.CallID, ".")
	x.byCallID[call] = append(x.byCallID[call], e)
	if e.AnswerDigest != "" {
		x.byAnswer[e.AnswerDigest] = e
	}
}

// wholeVersion returns the publication with this version, unless it is faulty.
func (x *index) wholeVersion(name string) (*Publication, bool) {
	p, ok := x.byVersion[name]
	return p, ok && !p.Faulty
}

// lastEnd returns when the last fault ended; zero if there was none.
func (x *index) lastEnd() time.Time {
	var last time.Time
	for _, f := range x.Faults {
		if f.Ended.After(last) {
			last = f.Ended
		}
	}
	return last
}

// affectsVM reports whether a fault ends, freezes or cuts off the daemon or the target of a VM.
func (x *index) affectsVM(f InjectedFault, vm string) bool {
	if slices.Contains(f.VMs, vm) {
		return true
	}
	dataCentre := x.vms[vm].DataCentre
	return f.Kind.ofLink() && (f.From == dataCentre || f.To == dataCentre)
}

// affectedByFault reports whether a fault other than the given one affects a
// call: its entry, a target that ran it, or the connection between them. A call
// through several entries counts as affected by every fault except those of the
// platform, silent peers and VMs listed as leaving.
func (x *index) affectedByFault(c *Call, other *InjectedFault) bool {
	return slices.ContainsFunc(x.Faults, func(f InjectedFault) bool {
		if (other != nil && f.is(*other)) || !f.overlaps(c.Started, c.Ended) {
			return false
		}
		return x.affects(f, c)
	})
}

func (x *index) affects(f InjectedFault, c *Call) bool {
	if f.Kind.ofPlatform() || f.Kind == FaultSilentPeer || f.Kind == FaultListedLeaving {
		return false
	}
	if c.Entry == "" || (f.Kind.ofProcess() && slices.Contains(f.VMs, c.Entry)) {
		return true
	}
	return slices.ContainsFunc(x.byKey[c.Key], func(e ffstand.Execution) bool {
		return slices.Contains(f.VMs, e.Target) || f.between(x.vms[c.Entry].DataCentre, x.vms[e.Target].DataCentre)
	})
}

// duringFault reports whether any fault was active during a call.
func (x *index) duringFault(c *Call) bool {
	return slices.ContainsFunc(x.Faults, func(f InjectedFault) bool { return f.overlaps(c.Started, c.Ended) })
}

// line returns a piece of evidence as one line of a trace.
func line(what string, evidence any) string {
	encoded, err := json.Marshal(evidence)
	if err != nil {
		return what + ": " + err.Error()
	}
	return what + ": " + string(encoded)
}

// linesOf returns executions as lines of a trace.
func linesOf(executions []ffstand.Execution) []string {
	var lines []string
	for _, e := range executions {
		lines = append(lines, line("execution", e))
	}
	return lines
}

// callTrace returns a call with its executions as a trace.
func (x *index) callTrace(reason string, c *Call) []string {
	return append([]string{reason, line("call", c)}, linesOf(x.byKey[c.Key])...)
}
