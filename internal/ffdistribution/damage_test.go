package ffdistribution_test

import (
	"testing"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffaudit"
	"fireflyfall.dev/fireflyfall/internal/ffplacement"
)

func TestVersionConflictConvergesAndIsAudited(t *testing.T) {
	inFleet(t, 2, 4, func(t *testing.T, f *fleet) {
		f.startWithVersion(t)
		trails := make(map[string]*ffaudit.Trail)
		for name, r := range f.running {
			trails[name] = &ffaudit.Trail{Daemon: name}
			r.node.Store.Audit = trails[name]
		}
		first, second := newRelease(2, "a", false), newRelease(2, "b", false)
		f.platform.serve(first)
		advance(convergence)
		f.platform.serve(second)
		newest := first.version
		if second.version.NewerThan(newest) {
			newest = second.version
		}
		f.requireActive(t, newest, convergence)
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

func TestInvalidVersionIsRefusedPermanently(t *testing.T) {
	inFleet(t, 2, 4, func(t *testing.T, f *fleet) {
		old := f.startWithVersion(t)
		trail := &ffaudit.Trail{}
		for _, r := range f.running {
			r.node.Store.Audit = trail
		}
		f.platform.serve(newRelease(2, "a", true))
		f.requireActive(t, old.version, convergence)
		refused := len(trail.Events())
		if refused == 0 || refused > 2*ffplacement.ReaderCount {
			t.Errorf("%d refusals audited, want one per reader", refused)
		}
		for range 10 {
			f.platform.serve(old)
			advance(time.Second)
			f.platform.serve(newRelease(2, "a", true))
			advance(time.Second)
		}
		if again := len(trail.Events()); again != refused {
			t.Errorf("%d refusals after publishing it again, %d before", again, refused)
		}
		fixed := newRelease(3, "a", false)
		f.platform.serve(fixed)
		f.requireActive(t, fixed.version, convergence)
	})
}

func TestVersionWithPieceCorruptAtSourceIsRefused(t *testing.T) {
	inFleet(t, 2, 4, func(t *testing.T, f *fleet) {
		old := f.startWithVersion(t)
		bad := newRelease(2, "a", false)
		f.platform.update(func() {
			for d := range bad.pieces {
				f.platform.corrupt[d] = true
				break
			}
		})
		f.platform.serve(bad)
		f.requireActive(t, old.version, time.Minute)
		reads := f.platform.reads
		advance(10 * time.Minute)
		if more := f.platform.reads - reads; more > 6*300+100 {
			t.Errorf("%d reads in ten minutes after the refusal: the corrupt version is read again", more)
		}
		fixed := newRelease(3, "a", false)
		f.platform.serve(fixed)
		f.requireActive(t, fixed.version, convergence)
	})
}

func TestPiecesCorruptedInTransitAreFetchedElsewhere(t *testing.T) {
	inFleet(t, 2, 6, func(t *testing.T, f *fleet) {
		f.startWithVersion(t)
		f.network.set(func() { f.network.corrupting = true })
		latest := newRelease(2, "a", false)
		f.platform.serve(latest)
		f.requireActive(t, latest.version, convergence)
	})
}

func TestCorruptMessagesAreIgnored(t *testing.T) {
	inFleet(t, 2, 6, func(t *testing.T, f *fleet) {
		f.startWithVersion(t)
		f.network.set(func() { f.network.corrupting = true })
		f.platform.update(func() { f.platform.list.Revision++ })
		for i := range 3 {
			f.start(f.vms[i], f.platform)
			advance(startTime)
		}
		f.heal()
		advance(startTime)
		for name, r := range f.running {
			view := r.node.Members.View()
			if got := view.List().Revision(); got != 2 || len(view.AllLive()) != len(f.vms) {
				t.Errorf("%s has revision %d of the list and %d live VMs, want 2 and %d", name, got, len(view.AllLive()), len(f.vms))
			}
		}
	})
}
