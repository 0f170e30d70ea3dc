package ffbalance

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/ffcall"
	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// refreshInterval is the time between two outlier detections, in nanoseconds.
const refreshInterval = int64(20 * time.Millisecond)

// Switches disables single policies, for comparisons with and without them.
type Switches struct {
	// RoundRobin chooses the targets in turn and ignores load and latency.
	RoundRobin bool
	// NoLoadReports ignores the reported queues and free slots, but not the number of
	// slots inferred from reports.
	NoLoadReports bool
	// NoOutlierEjection disables the ejection of outliers.
	NoOutlierEjection bool
	// NoOwnTarget disables the preference for the target on the daemon's own VM.
	NoOwnTarget bool
	// NoSpill keeps calls in the daemon's data centre while it has an eligible target.
	NoSpill bool
}

// Chooser chooses the target of each call of one daemon. Its fields must be set
// before the first use; the zero value is usable for a daemon without a data
// centre. It is safe for concurrent use.
type Chooser struct {
	// Self names the VM of the daemon.
	Self string
	// DataCentre names the data centre of the daemon.
	DataCentre string
	// Rand returns random bits and must be safe for concurrent use; if nil, a
	// fixed pseudorandom sequence is used.
	Rand func() uint64
	// Off disables policies.
	Off Switches

	vms      sync.Map // name to *targetStats
	groups   sync.Map // service to *group
	services atomic.Int64
	draws    atomic.Uint64
	epoch    atomic.Pointer[time.Time]
}

// Choose returns the target for a call of a service; exclude names targets that
// must not be chosen. The view is immutable: a changed view is a new slice. The
// error is an *Error.
func (c *Chooser) Choose(service string, class ffconfig.Class, now time.Time, view []ffmember.VM, exclude ...string) (ffmember.VM, error) {
	g := c.groupOf(service, view)
	c.refresh(g, now)
	allowed := g.without(exclude)
	if i, ok := c.pick(g, class, allowed, now); ok {
		return g.members[i].vm, nil
	}
	return ffmember.VM{}, &Error{Op: "choose", Kind: KindNoTarget, Err: merry.Errorf("no target available for service %s: all %d candidates are excluded", service, len(g.members))}
}

// Started counts the start of an attempt at a target.
func (c *Chooser) Started(vm string, class ffconfig.Class, now time.Time) {
	c.statsOf(vm).started(class, now)
}

// Finished records the result of an attempt.
func (c *Chooser) Finished(vm string, now time.Time, r Result) {
	t := c.statsOf(vm)
	t.finished(r, now)
	if g := t.group.Load(); g != nil && r.Failed {
		g.refreshAt.Store(0)
	}
}

// RecordLoad records a load report that did not come with the result of an attempt.
func (c *Chooser) RecordLoad(load ffcall.Load, now time.Time) {
	t := c.statsOf(load.VM)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordLoad(load, now)
}

// Ejected returns the sorted names of the targets that are ejected at present.
func (c *Chooser) Ejected() []string {
	var names []string
	for _, g := range c.groups.Range {
		for _, m := range g.(*group).members {
			if m.stats.isEjected() {
				names = append(names, m.vm.Name)
			}
		}
	}
	slices.Sort(names)
	return names
}

func (c *Chooser) statsOf(vm string) *targetStats {
	if t, ok := c.vms.Load(vm); ok {
		return t.(*targetStats)
	}
	t, _ := c.vms.LoadOrStore(vm, &targetStats{})
	return t.(*targetStats)
}

// groupOf returns the subset of a service and rebuilds it when the view or the
// subset size has changed.
func (c *Chooser) groupOf(service string, view []ffmember.VM) *group {
	size := subsetSize(int(c.services.Load()))
	old, known := c.groups.Load(service)
	if known && old.(*group).matches(view, size) {
		return old.(*group)
	}
	g := c.newGroup(service, view, size)
	if _, loaded := c.groups.Swap(service, g); !loaded {
		c.services.Add(1)
	}
	if known {
		c.forget(old.(*group), g)
	}
	return g
}

// forget deletes the statistics of targets that are no longer in the view.
func (c *Chooser) forget(old, current *group) {
	listed := make(map[string]bool, len(current.view))
	for _, vm := range current.view {
		listed[vm.Name] = true
	}
	for _, m := range old.members {
		if !listed[m.vm.Name] {
			c.vms.Delete(m.vm.Name)
		}
	}
}

// refresh runs the outlier detection of a group when it is due. Only one of
// several concurrent callers runs it.
func (c *Chooser) refresh(g *group, now time.Time) {
	at := g.refreshAt.Load()
	current := c.since(now)
	if current < at || !g.refreshAt.CompareAndSwap(at, current+refreshInterval) {
		return
	}
	g.refresh(c.Off, now)
}

// since returns the time since the first use, in nanoseconds.
func (c *Chooser) since(now time.Time) int64 {
	if epoch := c.epoch.Load(); epoch != nil {
		return int64(now.Sub(*epoch))
	}
	c.setEpoch(now)
	return 0
}

// setEpoch stores the time of the first use.
func (c *Chooser) setEpoch(now time.Time) { c.epoch.CompareAndSwap(nil, &now) }
