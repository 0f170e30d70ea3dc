package ffbalance

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
)

// Limits of the subset of a service's targets that one daemon calls.
const (
	// connectionBudget limits the targets in its data centre that one daemon calls,
	// over all services, unless minSubset requires more. Up to half as many remote
	// ones, but at least minSubset per service, are added. On average as many daemons
	// call each target.
	connectionBudget = 96
	minSubset        = 2
	maxSubset        = 32
)

// member is one target of a subset.
type member struct {
	vm    ffmember.VM
	stats *targetStats
}

// group is the subset of a service's targets that this daemon calls, built from
// one view. The targets of the daemon's data centre come first.
type group struct {
	service string
	view    []ffmember.VM
	size    int
	members []member
	// hasOwn is set if the first member is the target on this daemon's VM.
	hasOwn bool
	// local and remote are the members inside and outside the daemon's data centre.
	local, remote set

	// eligible is the set of members that are neither ejected nor leaving.
	eligible atomic.Uint64
	// medianLatency is the median latency of each class, in nanoseconds, over the local
	// members or, if there are none, the remote ones; zero if there are too few samples.
	medianLatency [classes]atomic.Uint64
	refreshAt     atomic.Int64
	calls         atomic.Int64
	turn          atomic.Uint64
}

// matches reports whether the group was built from this view and size.
func (g *group) matches(view []ffmember.VM, size int) bool {
	if g.size != size || len(g.view) != len(view) {
		return false
	}
	return len(view) == 0 || &g.view[0] == &view[0]
}

// subsetSize returns the size of the subset of each service: the maximum number
// of local targets, given the number of services.
func subsetSize(services int) int {
	return min(max(connectionBudget/max(services, 1), minSubset), maxSubset)
}

// candidates returns the live targets of a service inside and outside the
// daemon's data centre, in the daemon's rendezvous order. The target on the
// daemon's own VM comes first.
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
			cmp.Compare(ownRank(entry, a), ownRank(entry, b)),
			cmp.Compare(rank(entry, a.Name), rank(entry, b.Name)),
			cmp.Compare(a.Name, b.Name),
		)
	}
	slices.SortFunc(local, byRank)
	slices.SortFunc(remote, byRank)
	return local, remote
}

// ownRank returns 0 for the VM of the daemon and 1 for all others.
func ownRank(entry string, vm ffmember.VM) int {
	if vm.Name == entry {
		return 0
	}
	return 1
}

// rank returns the rendezvous hash by which the daemon of entry sorts vm.
func rank(entry, vm string) uint64 { return xxhash.Sum64String(entry + "\x00" + vm) }

// newGroup builds the subset of a service from a view.
func (c *Chooser) newGroup(service string, view []ffmember.VM, size int) *group {
	local, remote := candidates(c.Self, c.DataCentre, service, view)
	localCount := min(len(local), size)
	remoteCount := min(len(remote), max(size/2, minSubset))
	if localCount == 0 {
		remoteCount = min(len(remote), size)
	}
	g := &group{service: service, view: view, size: size}
	for _, vm := range slices.Concat(local[:localCount], remote[:remoteCount]) {
		g.members = append(g.members, member{vm: vm, stats: c.statsOf(vm.Name)})
	}
	g.hasOwn = localCount > 0 && g.members[ownMember].vm.Name == c.Self
	g.local = firstBits(localCount)
	g.remote = firstBits(localCount+remoteCount) &^ g.local
	g.eligible.Store(uint64(g.local | g.remote))
	for _, m := range g.members {
		m.stats.group.Store(g)
	}
	return g
}

// refresh recomputes the median latencies, detects outliers and updates the
// eligible members.
func (g *group) refresh(off Switches, now time.Time) {
	medians := g.median(g.local, now)
	if g.local.empty() {
		medians = g.median(g.remote, now)
	}
	for class := range medians {
		g.medianLatency[class].Store(uint64(medians[class]))
	}
	eligible := (g.local | g.remote) &^ g.leaving(now)
	if !off.NoOutlierEjection {
		eligible &^= g.ejectOutliers(g.local, now) | g.ejectOutliers(g.remote, now)
	}
	g.eligible.Store(uint64(eligible))
}

// leaving returns the members that refused a call within leavingPeriod because
// they are leaving.
func (g *group) leaving(now time.Time) set {
	var s set
	for i, m := range g.members {
		if m.stats.isLeaving(now) {
			s = s.with(i)
		}
	}
	return s
}

func (t *targetStats) isLeaving(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.leavingUntil)
}
