package ffbalance

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
)

// Bounds of the subset of a service's targets that one daemon calls.
const (
	// connectionBudget bounds the targets that one daemon calls, over all
	// services. As many daemons call each target.
	connectionBudget = 96
	minSubset        = 2
	maxSubset        = 32
)

// member is one target of a subset.
type member struct {
	vm    ffmember.VM
	facts *facts
}

// group is the subset of a service's targets that this daemon calls, made from
// one view. The targets of its own data centre come first.
type group struct {
	service string
	view    []ffmember.VM
	size    int
	members []member
	// own tells that the first member is the target beside this daemon.
	own bool
	// local and remote are the sets of members by data centre.
	local, remote set

	// eligible is the set of members that are neither shunned nor leaving.
	eligible atomic.Uint64
	// usual holds the median latency of each class in the own data centre, in nanoseconds.
	usual     [classes]atomic.Uint64
	refreshAt atomic.Int64
	calls     atomic.Int64
	turn      atomic.Uint64
}

// fits reports whether the group was made from this view and size.
func (g *group) fits(view []ffmember.VM, size int) bool {
	if g.size != size || len(g.view) != len(view) {
		return false
	}
	return len(view) == 0 || &g.view[0] == &view[0]
}

// subsetSize returns the number of targets to call of each service.
func subsetSize(services int) int {
	return min(max(connectionBudget/max(services, 1), minSubset), maxSubset)
}

// candidates returns the live targets of a service in this daemon's order, by
// rendezvous hash, those of its own data centre first and its own target before all.
func candidates(entry, dataCentre, service string, view []ffmember.VM) (local, remote []ffmember.VM) {
	for _, vm := range view {
		switch {
		case vm.Service != service || vm.State != ffmember.StateLive:
		case vm.DataCentre == dataCentre:
			local = append(local, vm)
		default:
			remote = append(remote, vm)
		}
	}
	byRank := func(a, b ffmember.VM) int {
		return cmp.Or(
			cmp.Compare(other(entry, a), other(entry, b)),
			cmp.Compare(rank(entry, a.Name), rank(entry, b.Name)),
			cmp.Compare(a.Name, b.Name),
		)
	}
	slices.SortFunc(local, byRank)
	slices.SortFunc(remote, byRank)
	return local, remote
}

// other returns 0 for the VM of the daemon itself and 1 for every other.
func other(entry string, vm ffmember.VM) int {
	if vm.Name == entry {
		return 0
	}
	return 1
}

func rank(entry, vm string) uint64 { return xxhash.Sum64String(entry + "\x00" + vm) }

// newGroup makes the subset of a service from a view.
func (c *Chooser) newGroup(service string, view []ffmember.VM, size int) *group {
	local, remote := candidates(c.Entry, c.DataCentre, service, view)
	nearby := min(len(local), size)
	far := min(len(remote), max(size/2, minSubset))
	if nearby == 0 {
		far = min(len(remote), size)
	}
	g := &group{service: service, view: view, size: size}
	for _, vm := range slices.Concat(local[:nearby], remote[:far]) {
		g.members = append(g.members, member{vm: vm, facts: c.factsOf(vm.Name)})
	}
	g.own = nearby > 0 && g.members[ownMember].vm.Name == c.Entry
	g.local = firstBits(nearby)
	g.remote = firstBits(nearby+far) &^ g.local
	g.eligible.Store(uint64(g.local | g.remote))
	for _, m := range g.members {
		m.facts.group.Store(g)
	}
	return g
}

// refresh works out the usual latency and which members are outliers.
func (g *group) refresh(off Switches, now time.Time) {
	usual := g.median(g.local, now)
	if g.local.empty() {
		usual = g.median(g.remote, now)
	}
	for class := range usual {
		g.usual[class].Store(uint64(usual[class]))
	}
	eligible := (g.local | g.remote) &^ g.leaving(now)
	if !off.NoShunning {
		eligible &^= g.shunned(g.local, now) | g.shunned(g.remote, now)
	}
	g.eligible.Store(uint64(eligible))
}

func (g *group) leaving(now time.Time) set {
	var s set
	for i, m := range g.members {
		if m.facts.isLeaving(now) {
			s = s.with(i)
		}
	}
	return s
}

func (f *facts) isLeaving(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Before(f.leavingUntil)
}
