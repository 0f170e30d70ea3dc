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

// refreshInterval is the time between two searches for outliers, in nanoseconds.
const refreshInterval = int64(20 * time.Millisecond)

// Switches turn single policies off, to compare with and without them.
type Switches struct {
	// RoundRobin takes the targets in turn, without regard to any fact.
	RoundRobin bool
	// NoLoad disregards what answers tell of queues and slots.
	NoLoad bool
	// NoShunning keeps outliers among the choices.
	NoShunning bool
	// NoOwn does not favour the target beside the daemon.
	NoOwn bool
	// NoSpill never leaves the own data centre while it has a target.
	NoSpill bool
}

// Chooser chooses the target of each call of one daemon. Its fields are set
// before the first use; the zero value works for a daemon of no data centre. It
// is safe for concurrent use.
type Chooser struct {
	// Entry names the VM of the daemon.
	Entry string
	// DataCentre names the data centre of the daemon.
	DataCentre string
	// Draw returns random bits and must be safe for concurrent use; nil stands
	// for a fixed sequence.
	Draw func() uint64
	// Off turns policies off.
	Off Switches

	vms      sync.Map // name to *facts
	groups   sync.Map // service to *group
	services atomic.Int64
	draws    atomic.Uint64
	epoch    atomic.Pointer[time.Time]
}

// Choose returns the target for a call of a service, none of the excluded. The
// view is immutable: a changed view is a new slice. The error is an *Error.
func (c *Chooser) Choose(service string, class ffconfig.Class, now time.Time, view []ffmember.VM, exclude ...string) (ffmember.VM, error) {
	g := c.groupOf(service, view)
	c.refresh(g, now)
	allowed := g.without(exclude)
	if i, ok := c.pick(g, class, allowed, now); ok {
		return g.members[i].vm, nil
	}
	return ffmember.VM{}, &Error{Op: "choose", Kind: KindNoTarget, Err: merry.Errorf("service %s has no target left among %d", service, len(g.members))}
}

// Started counts an attempt that goes to a target.
func (c *Chooser) Started(vm string, class ffconfig.Class, now time.Time) {
	c.factsOf(vm).started(class, now)
}

// Finished takes in how an attempt ended.
func (c *Chooser) Finished(vm string, now time.Time, r Result) {
	f := c.factsOf(vm)
	f.finished(r, now)
	if g := f.group.Load(); g != nil && r.Failed {
		g.refreshAt.Store(0)
	}
}

// Learn takes in what a target told of its queue outside any call.
func (c *Chooser) Learn(load ffcall.Load, now time.Time) {
	f := c.factsOf(load.VM)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.learn(load, now)
}

// Shunned returns the names of the targets that are shunned now, sorted.
func (c *Chooser) Shunned() []string {
	var names []string
	for _, g := range c.groups.Range {
		for _, m := range g.(*group).members {
			if m.facts.isShunned() {
				names = append(names, m.vm.Name)
			}
		}
	}
	slices.Sort(names)
	return names
}

func (c *Chooser) factsOf(vm string) *facts {
	if f, ok := c.vms.Load(vm); ok {
		return f.(*facts)
	}
	f, _ := c.vms.LoadOrStore(vm, &facts{})
	return f.(*facts)
}

// groupOf returns the subset of a service, made anew when the view has changed.
func (c *Chooser) groupOf(service string, view []ffmember.VM) *group {
	size := subsetSize(int(c.services.Load()))
	old, known := c.groups.Load(service)
	if known && old.(*group).fits(view, size) {
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

// forget drops the facts of targets that left the view.
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

// refresh searches a group for outliers when that is due; one caller does it.
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
	c.start(now)
	return 0
}

// start keeps the time of the first use.
func (c *Chooser) start(now time.Time) { c.epoch.CompareAndSwap(nil, &now) }
