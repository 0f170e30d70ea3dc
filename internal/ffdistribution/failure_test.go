package ffdistribution_test

import (
	"slices"
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffaudit"
	"fireflyfall.dev/fireflyfall/internal/ffdistribution"
	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/internal/ffplacement"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// startTime is the time that a test fleet needs to start.
const startTime = 10 * time.Second

// startWithVersion starts a fleet and requires a first version to be active everywhere.
func (f *fleet) startWithVersion(t *testing.T) release {
	t.Helper()
	r := newRelease(1, "a", false)
	f.platform.serve(r)
	f.startAll()
	f.requireActive(t, r.version, startTime)
	return r
}

func TestRestartWithStalePlatformKeepsNewestVersion(t *testing.T) {
	inFleet(t, 2, 4, func(t *testing.T, f *fleet) {
		old := f.startWithVersion(t)
		latest := newRelease(2, "a", false)
		f.platform.serve(latest)
		f.requireActive(t, latest.version, convergence)
		f.platform.serve(old)
		for _, vm := range f.vms[:4] {
			f.start(vm, f.platform)
			f.requireActive(t, latest.version, startTime)
		}
		f.requireOnly(t, f.vms[:4], latest.version)
	})
}

func TestIsolatedDaemonIsNotReady(t *testing.T) {
	inFleet(t, 1, 3, func(t *testing.T, f *fleet) {
		f.startWithVersion(t)
		f.platform.setDown(true)
		f.stopAll()
		r := f.start(f.vms[0], f.platform)
		advance(time.Minute)
		if r.node.Ready() || len(r.applied) > 0 {
			t.Errorf("ready %v with applied versions %v, although nothing has answered", r.node.Ready(), r.applied)
		}
		for _, vm := range f.vms[1:] {
			f.start(vm, f.platform)
		}
		advance(time.Minute)
		for _, r := range f.running {
			if r.node.Ready() {
				t.Errorf("%s is ready, although no platform and no ready peer has answered", r.node.Self.Name)
			}
		}
		f.platform.setDown(false)
		f.requireActive(t, newRelease(1, "a", false).version, startTime)
	})
}

func TestServesWhilePlatformIsDown(t *testing.T) {
	inFleet(t, 2, 4, func(t *testing.T, f *fleet) {
		r := f.startWithVersion(t)
		f.platform.setDown(true)
		advance(10 * time.Minute)
		f.requireActive(t, r.version, 0)
		f.start(f.vms[0], f.platform)
		f.requireActive(t, r.version, startTime)
		latest := newRelease(2, "a", false)
		f.platform.serve(latest)
		f.platform.setDown(false)
		f.requireActive(t, latest.version, convergence)
	})
}

func TestFlappingPlatformNeverRevertsVersion(t *testing.T) {
	inFleet(t, 2, 4, func(t *testing.T, f *fleet) {
		old := f.startWithVersion(t)
		latest := newRelease(2, "a", false)
		for range 20 {
			f.platform.serve(latest)
			advance(300 * time.Millisecond)
			f.platform.serve(old)
			advance(300 * time.Millisecond)
		}
		f.requireActive(t, latest.version, convergence)
	})
}

func TestDataCentreWithoutPlatformLearnsFromOtherDataCentres(t *testing.T) {
	inFleet(t, 3, 4, func(t *testing.T, f *fleet) {
		f.platform.serve(newRelease(1, "a", false))
		cut := newPlatform(f.vms)
		cut.down = true
		for _, vm := range f.vms {
			if vm.DataCentre == "dc-0" {
				f.start(vm, cut)
			} else {
				f.start(vm, f.platform)
			}
			f.running[vm.Name].node.Seeds = []string{"vm-1-0", "vm-2-0"}
		}
		f.requireActive(t, newRelease(1, "a", false).version, 2*startTime)
		latest := newRelease(2, "a", false)
		f.platform.serve(latest)
		f.requireActive(t, latest.version, convergence)
	})
}

// TestDataCentreWithoutPlatformDoesNotDependOnChance guards against a version that reaches
// a data centre without the platform late, because no exchange happened to cross.
func TestDataCentreWithoutPlatformDoesNotDependOnChance(t *testing.T) {
	inFleet(t, 3, 4, func(t *testing.T, f *fleet) {
		f.intN = func(n int) int { return n - 1 }
		r := f.startWithVersion(t)
		cut := newPlatform(f.vms)
		cut.down = true
		for _, vm := range f.vms[:4] {
			f.start(vm, cut)
			f.running[vm.Name].node.Seeds = []string{"vm-1-0", "vm-2-0"}
		}
		f.requireActive(t, r.version, 2*startTime)
		latest := newRelease(2, "a", false)
		f.platform.serve(latest)
		f.requireActive(t, latest.version, convergence)
	})
}

func TestPartitionedDataCentreCatchesUp(t *testing.T) {
	inFleet(t, 3, 4, func(t *testing.T, f *fleet) {
		stale := newPlatform(f.vms)
		stale.serve(newRelease(1, "a", false))
		for _, vm := range f.vms[:4] {
			f.start(vm, stale)
		}
		f.platform.serve(newRelease(1, "a", false))
		for _, vm := range f.vms[4:] {
			f.start(vm, f.platform)
		}
		f.requireActive(t, newRelease(1, "a", false).version, startTime)
		f.cutDataCentre("dc-0")
		latest := newRelease(2, "a", false)
		f.platform.serve(latest)
		advance(time.Minute)
		if behind := f.behind(latest.version); len(behind) != 4 {
			t.Errorf("daemons behind: %v, want the 4 partitioned ones", behind)
		}
		f.heal()
		f.requireActive(t, latest.version, startTime)
	})
}

func TestVersionSpreadsWhenReadersAreKilled(t *testing.T) {
	inFleet(t, 1, 12, func(t *testing.T, f *fleet) {
		f.startWithVersion(t)
		latest := newRelease(2, "a", false)
		f.platform.serve(latest)
		for _, vm := range ffplacement.FavouredReaders(f.vms, "dc-0", ffplacement.ReaderCount, 1) {
			f.stop(vm)
		}
		f.requireActive(t, latest.version, startTime)
		next := newRelease(3, "a", false)
		f.platform.serve(next)
		f.requireActive(t, next.version, convergence)
	})
}

func TestDataCentreRestartKeepsNewestVersion(t *testing.T) {
	inFleet(t, 2, 6, func(t *testing.T, f *fleet) {
		old := f.startWithVersion(t)
		latest := newRelease(2, "a", false)
		f.platform.serve(latest)
		f.requireActive(t, latest.version, convergence)
		f.platform.serve(old)
		for _, vm := range f.vms[:6] {
			f.stop(vm)
		}
		for _, vm := range f.vms[:6] {
			f.start(vm, f.platform)
		}
		f.requireActive(t, latest.version, startTime)
		f.requireOnly(t, f.vms[:6], latest.version)
	})
}

// TestRestartInPartitionAppliesOnlyNewestVersion restarts a partitioned data centre
// without a platform. A stale platform and the other data centres then become
// reachable at the same moment; the stale version must not be applied.
func TestRestartInPartitionAppliesOnlyNewestVersion(t *testing.T) {
	inFleet(t, 2, 4, func(t *testing.T, f *fleet) {
		old := f.startWithVersion(t)
		latest := newRelease(2, "a", false)
		f.platform.serve(latest)
		f.requireActive(t, latest.version, convergence)
		f.cutDataCentre("dc-0")
		stale := newPlatform(f.vms)
		stale.serve(old)
		stale.setDown(true)
		for _, vm := range f.vms[:4] {
			f.start(vm, stale).node.Members.ApplyList(ffmember.NewList(1, f.vms))
		}
		advance(time.Minute)
		f.heal()
		stale.setDown(false)
		f.requireActive(t, latest.version, startTime)
		f.requireOnly(t, f.vms[:4], latest.version)
	})
}

// simulatePause makes a daemon detect a pause of one minute.
func simulatePause(n *ffdistribution.Node) {
	n.Beat(time.Now().Add(time.Minute))
	n.Beat(time.Now())
}

func TestPausedDaemonSyncsBeforeItIsReady(t *testing.T) {
	inFleet(t, 2, 4, func(t *testing.T, f *fleet) {
		f.startWithVersion(t)
		vm := f.vms[0]
		paused := f.running[vm.Name].node
		trail := &ffaudit.Trail{}
		paused.Audit = trail
		f.block(vm.Name, "")
		f.block("", vm.Name)
		f.platform.setDown(true)
		latest := newRelease(2, "a", false)
		f.platform.serve(latest)
		simulatePause(paused)
		advance(time.Second)
		if paused.Ready() {
			t.Error("ready after a pause, before any response")
		}
		if events := trail.Events(); len(events) != 1 || events[0].Kind != ffaudit.KindPauseDetected {
			t.Errorf("audited %v, want one pause", events)
		}
		f.heal()
		f.platform.setDown(false)
		for !paused.Ready() {
			advance(10 * time.Millisecond)
		}
		if got := paused.Store.Version(); got != latest.version {
			t.Errorf("ready with active version %v, want %v", got, latest.version)
		}
	})
}

// TestFleetServesAfterPauseOfAllDaemons pauses every daemon while the platform is
// down. No peer is ready to report a version, yet each daemon must become ready again
// with the version it has.
func TestFleetServesAfterPauseOfAllDaemons(t *testing.T) {
	inFleet(t, 2, 4, func(t *testing.T, f *fleet) {
		r := f.startWithVersion(t)
		f.platform.setDown(true)
		for _, r := range f.running {
			simulatePause(r.node)
		}
		f.requireActive(t, r.version, startTime)
	})
}

func TestLeavingVMIsKnownToAllWithinTwoSeconds(t *testing.T) {
	inFleet(t, 3, 12, func(t *testing.T, f *fleet) {
		f.startWithVersion(t)
		leaver := f.running[f.vms[0].Name]
		leaver.node.AnnounceLeaving(t.Context())
		advance(2 * time.Second)
		f.requireState(t, leaver, ffmember.StateLeaving)
		leaver.node.AnnounceGone(t.Context())
		f.stop(f.vms[0])
		advance(2 * time.Second)
		f.requireState(t, leaver, ffmember.StateGone)
		restarted := f.start(f.vms[0], f.platform)
		advance(startTime)
		f.requireState(t, restarted, ffmember.StateLive)
	})
}

// requireOnly fails the test unless the daemons applied this version and no other.
func (f *fleet) requireOnly(t *testing.T, vms []ffmember.VM, want ffconfig.Version) {
	t.Helper()
	for _, vm := range vms {
		if applied := f.running[vm.Name].applied; !slices.Equal(applied, []ffconfig.Version{want}) {
			t.Errorf("%s applied %v, want only %v", vm.Name, applied, want)
		}
	}
}

// requireState fails the test unless every daemon sees the VM of r in this state.
func (f *fleet) requireState(t *testing.T, r *daemonRun, want ffmember.State) {
	t.Helper()
	for name, other := range f.running {
		vm, ok := other.node.Members.View().VM(r.node.Self.Name)
		got := vm.State
		if !ok {
			got = ffmember.StateGone
		}
		if got != want {
			t.Errorf("%s sees %s as %v, want %v", name, r.node.Self.Name, got, want)
		}
	}
}

func TestVMListSpreadsAndNeverReverts(t *testing.T) {
	inFleet(t, 2, 10, func(t *testing.T, f *fleet) {
		f.startWithVersion(t)
		joined := ffmember.VM{Name: "vm-new", DataCentre: "dc-0", Service: "desk", PeerAddress: "vm-new"}
		f.platform.update(func() {
			f.platform.list.Revision++
			f.platform.list.VMs = append(f.platform.list.VMs[:len(f.vms):len(f.vms)], joined)
		})
		advance(convergence)
		for name, r := range f.running {
			if _, ok := r.node.Members.View().VM("vm-new"); !ok {
				t.Errorf("%s does not know the new VM", name)
			}
		}
		f.platform.update(func() {
			f.platform.list.Revision--
			f.platform.list.VMs = f.vms
		})
		advance(startTime)
		for name, r := range f.running {
			if got := r.node.Members.View().List().Revision(); got != 2 {
				t.Errorf("%s has revision %d of the VM list, want 2", name, got)
			}
		}
	})
}
