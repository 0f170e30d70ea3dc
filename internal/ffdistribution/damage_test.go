package ffdistribution_test

import (
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffaudit"
	"fireflyfall.dev/fireflyfall/internal/ffplacement"
)

func TestRaceEndsOnOneVersionAndIsAudited(t *testing.T) {
	inFleet(t, 2, 4, func(t *testing.T, f *fleet) {
		f.begin(t)
		trails := make(map[string]*ffaudit.Trail)
		for name, r := range f.running {
			trails[name] = &ffaudit.Trail{Daemon: name}
			r.node.Store.Audit = trails[name]
		}
		first, second := newRelease(2, "a", false), newRelease(2, "b", false)
		f.platform.serve(first)
		advance(convergence)
		f.platform.serve(second)
		greatest := first.version
		if second.version.NewerThan(greatest) {
			greatest = second.version
		}
		f.requireInForce(t, greatest, convergence)
		conflicts := 0
		for _, trail := range trails {
			for _, e := range trail.Events() {
				if e.Kind == ffaudit.KindVersionConflict {
					conflicts++
				}
			}
		}
		if conflicts == 0 {
			t.Error("no daemon audited the conflict")
		}
	})
}

func TestFaultyVersionIsRefusedOnceAndForGood(t *testing.T) {
	inFleet(t, 2, 4, func(t *testing.T, f *fleet) {
		old := f.begin(t)
		trail := &ffaudit.Trail{}
		for _, r := range f.running {
			r.node.Store.Audit = trail
		}
		f.platform.serve(newRelease(2, "a", true))
		f.requireInForce(t, old.version, convergence)
		refused := len(trail.Events())
		if refused == 0 || refused > 2*ffplacement.ReaderCount {
			t.Errorf("%d refusals audited, want one of each reader", refused)
		}
		for range 10 {
			f.platform.serve(old)
			advance(time.Second)
			f.platform.serve(newRelease(2, "a", true))
			advance(time.Second)
		}
		if again := len(trail.Events()); again != refused {
			t.Errorf("%d refusals after a minute, %d at first", again, refused)
		}
		mended := newRelease(3, "a", false)
		f.platform.serve(mended)
		f.requireInForce(t, mended.version, convergence)
	})
}

func TestPieceDamagedAtSourceIsRefusedWhole(t *testing.T) {
	inFleet(t, 2, 4, func(t *testing.T, f *fleet) {
		old := f.begin(t)
		bad := newRelease(2, "a", false)
		f.platform.update(func() {
			for d := range bad.pieces {
				f.platform.damaged[d] = true
				break
			}
		})
		f.platform.serve(bad)
		f.requireInForce(t, old.version, time.Minute)
		reads := f.platform.reads
		advance(10 * time.Minute)
		if more := f.platform.reads - reads; more > 6*300+100 {
			t.Errorf("%d reads in ten minutes after the refusal: the damaged version is read again", more)
		}
		mended := newRelease(3, "a", false)
		f.platform.serve(mended)
		f.requireInForce(t, mended.version, convergence)
	})
}

func TestPiecesDamagedOnTheWayAreFetchedElsewhere(t *testing.T) {
	inFleet(t, 2, 6, func(t *testing.T, f *fleet) {
		f.begin(t)
		f.network.set(func() { f.network.damage = true })
		latest := newRelease(2, "a", false)
		f.platform.serve(latest)
		f.requireInForce(t, latest.version, convergence)
	})
}

func TestDamagedMessagesAreIgnored(t *testing.T) {
	inFleet(t, 2, 6, func(t *testing.T, f *fleet) {
		f.begin(t)
		f.network.set(func() { f.network.damage = true })
		f.platform.update(func() { f.platform.list.Revision++ })
		for i := range 3 {
			f.start(f.vms[i], f.platform)
			advance(settle)
		}
		f.heal()
		advance(settle)
		for name, r := range f.running {
			view := r.node.Members.View()
			if got := view.List().Revision(); got != 2 || len(view.All()) != len(f.vms) {
				t.Errorf("%s has revision %d of the list and %d live VMs, want 2 and %d", name, got, len(view.All()), len(f.vms))
			}
		}
	})
}
