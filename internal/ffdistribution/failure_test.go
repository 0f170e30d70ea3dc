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

// settle is the time that a fleet of the tests needs to start.
const settle = 10 * time.Second

// begin starts a fleet with a first version in force everywhere.
func (f *fleet) begin(t *testing.T) release {
	t.Helper()
	r := newRelease(1, "a", false)
	f.platform.serve(r)
	f.startAll()
	f.requireInForce(t, r.version, settle)
	return r
}

func TestRestartBehindStalePlatformNeverGoesBack(t *testing.T) {
	inFleet(t, 2, 4, func(t *testing.T, f *fleet) {
		old := f.begin(t)
		latest := newRelease(2, "a", false)
		f.platform.serve(latest)
		f.requireInForce(t, latest.version, convergence)
		f.platform.serve(old)
		for _, vm := range f.vms[:4] {
			f.start(vm, f.platform)
			f.requireInForce(t, latest.version, settle)
		}
		f.requireOnly(t, f.vms[:4], latest.version)
	})
}

func TestDaemonAloneIsNotReady(t *testing.T) {
	inFleet(t, 1, 3, func(t *testing.T, f *fleet) {
		f.begin(t)
		f.platform.setDown(true)
		f.stopAll()
		r := f.start(f.vms[0], f.platform)
		advance(time.Minute)
		if r.node.Ready() || len(r.applied) > 0 {
			t.Errorf("ready %v with %v in force, while nobody has answered", r.node.Ready(), r.applied)
		}
		for _, vm := range f.vms[1:] {
			f.start(vm, f.platform)
		}
		advance(time.Minute)
		for _, r := range f.running {
			if r.node.Ready() {
				t.Errorf("%s is ready, while nobody who has learnt anything has answered", r.node.Self.Name)
			}
		}
		f.platform.setDown(false)
		f.requireInForce(t, newRelease(1, "a", false).version, settle)
	})
}

func TestServesWhilePlatformIsDown(t *testing.T) {
	inFleet(t, 2, 4, func(t *testing.T, f *fleet) {
		r := f.begin(t)
		f.platform.setDown(true)
		advance(10 * time.Minute)
		f.requireInForce(t, r.version, 0)
		f.start(f.vms[0], f.platform)
		f.requireInForce(t, r.version, settle)
		latest := newRelease(2, "a", false)
		f.platform.serve(latest)
		f.platform.setDown(false)
		f.requireInForce(t, latest.version, convergence)
	})
}

func TestFlappingPlatformNeverTakesBack(t *testing.T) {
	inFleet(t, 2, 4, func(t *testing.T, f *fleet) {
		old := f.begin(t)
		latest := newRelease(2, "a", false)
		for range 20 {
			f.platform.serve(latest)
			advance(300 * time.Millisecond)
			f.platform.serve(old)
			advance(300 * time.Millisecond)
		}
		f.requireInForce(t, latest.version, convergence)
	})
}

func TestDataCentreCutFromPlatformLearnsFromNeighbours(t *testing.T) {
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
		f.requireInForce(t, newRelease(1, "a", false).version, 2*settle)
		latest := newRelease(2, "a", false)
		f.platform.serve(latest)
		f.requireInForce(t, latest.version, convergence)
	})
}

func TestCutDataCentreCatchesUpWhenHealed(t *testing.T) {
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
		f.requireInForce(t, newRelease(1, "a", false).version, settle)
		f.cutDataCentre("dc-0")
		latest := newRelease(2, "a", false)
		f.platform.serve(latest)
		advance(time.Minute)
		if behind := f.behind(latest.version); len(behind) != 4 {
			t.Errorf("behind are %v, want the 4 daemons that are cut off", behind)
		}
		f.heal()
		f.requireInForce(t, latest.version, settle)
	})
}

func TestReadersKilledWhileTheySpread(t *testing.T) {
	inFleet(t, 1, 12, func(t *testing.T, f *fleet) {
		f.begin(t)
		latest := newRelease(2, "a", false)
		f.platform.serve(latest)
		for _, vm := range ffplacement.FavouredReaders(f.vms, "dc-0", ffplacement.ReaderCount, 1) {
			f.stop(vm)
		}
		f.requireInForce(t, latest.version, settle)
		next := newRelease(3, "a", false)
		f.platform.serve(next)
		f.requireInForce(t, next.version, convergence)
	})
}

func TestDataCentreKilledAndBack(t *testing.T) {
	inFleet(t, 2, 6, func(t *testing.T, f *fleet) {
		old := f.begin(t)
		latest := newRelease(2, "a", false)
		f.platform.serve(latest)
		f.requireInForce(t, latest.version, convergence)
		f.platform.serve(old)
		for _, vm := range f.vms[:6] {
			f.stop(vm)
		}
		for _, vm := range f.vms[:6] {
			f.start(vm, f.platform)
		}
		f.requireInForce(t, latest.version, settle)
		f.requireOnly(t, f.vms[:6], latest.version)
	})
}

// TestRestartInCutTakesOnlyGreatest restarts a data centre that nobody answers,
// and then lets a stale platform and the others answer at the same moment.
func TestRestartInCutTakesOnlyGreatest(t *testing.T) {
	inFleet(t, 2, 4, func(t *testing.T, f *fleet) {
		old := f.begin(t)
		latest := newRelease(2, "a", false)
		f.platform.serve(latest)
		f.requireInForce(t, latest.version, convergence)
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
		f.requireInForce(t, latest.version, settle)
		f.requireOnly(t, f.vms[:4], latest.version)
	})
}

// pauseNow lets a daemon believe that it did not run for a minute.
func pauseNow(n *ffdistribution.Node) {
	n.Beat(time.Now().Add(time.Minute))
	n.Beat(time.Now())
}

func TestPausedDaemonLearnsAgainBeforeItIsReady(t *testing.T) {
	inFleet(t, 2, 4, func(t *testing.T, f *fleet) {
		f.begin(t)
		vm := f.vms[0]
		paused := f.running[vm.Name].node
		trail := &ffaudit.Trail{}
		paused.Audit = trail
		f.block(vm.Name, "")
		f.block("", vm.Name)
		f.platform.setDown(true)
		latest := newRelease(2, "a", false)
		f.platform.serve(latest)
		pauseNow(paused)
		advance(time.Second)
		if paused.Ready() {
			t.Error("ready after a pause, before anybody has answered")
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
			t.Errorf("ready with %v in force, want %v", got, latest.version)
		}
	})
}

// TestFleetPausedAsWholeGoesOnServing pauses every daemon while the platform is
// down: nobody can answer what nobody is sure of, and still each has its version.
func TestFleetPausedAsWholeGoesOnServing(t *testing.T) {
	inFleet(t, 2, 4, func(t *testing.T, f *fleet) {
		r := f.begin(t)
		f.platform.setDown(true)
		for _, r := range f.running {
			pauseNow(r.node)
		}
		f.requireInForce(t, r.version, settle)
	})
}

func TestLeavingVMIsKnownWithinTwoSeconds(t *testing.T) {
	inFleet(t, 3, 12, func(t *testing.T, f *fleet) {
		f.begin(t)
		leaver := f.running[f.vms[0].Name]
		leaver.node.Leave(t.Context())
		advance(2 * time.Second)
		f.requireState(t, leaver, ffmember.StateLeaving)
		leaver.node.Gone(t.Context())
		f.stop(f.vms[0])
		advance(2 * time.Second)
		f.requireState(t, leaver, ffmember.StateGone)
		again := f.start(f.vms[0], f.platform)
		advance(settle)
		f.requireState(t, again, ffmember.StateLive)
	})
}

// requireOnly fails the test unless the daemons put this version in force and no other.
func (f *fleet) requireOnly(t *testing.T, vms []ffmember.VM, want ffconfig.Version) {
	t.Helper()
	for _, vm := range vms {
		if applied := f.running[vm.Name].applied; !slices.Equal(applied, []ffconfig.Version{want}) {
			t.Errorf("%s put %v in force, want only %v", vm.Name, applied, want)
		}
	}
}

// requireState fails the test unless every daemon sees the VM of r in this state.
func (f *fleet) requireState(t *testing.T, r *running, want ffmember.State) {
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

func TestListComesFromFewReaders(t *testing.T) {
	inFleet(t, 2, 10, func(t *testing.T, f *fleet) {
		f.begin(t)
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
		advance(settle)
		for name, r := range f.running {
			if got := r.node.Members.View().List().Revision(); got != 2 {
				t.Errorf("%s went back to revision %d of the list", name, got)
			}
		}
	})
}
