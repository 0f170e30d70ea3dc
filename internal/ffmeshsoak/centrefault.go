package ffmeshsoak

import (
	"math/rand/v2"
	"sync"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffrelay"
)

const (
	// meanCentreGap is the mean time between two faults of data centres.
	meanCentreGap = 5 * time.Second
	// evacuationDuration is longer than the time after which an evacuation binds.
	evacuationDuration = 7 * time.Second
	// darkDuration is how long a data centre is down that comes back cold.
	darkDuration = time.Second
	// evacuationLimit is the limit in the platform's settings for the last request at the
	// targets of an evacuated data centre.
	evacuationLimit = 5 * time.Second
	// centres is the number of data centres.
	centres = 2
)

// GenerateCentreEvents returns the random faults of data centres of a seed, sorted by time.
func GenerateCentreEvents(seed uint64, length time.Duration) []Event {
	r := rand.New(rand.NewPCG(seed, 4))
	var all []Event
	for at := firstFault; at < length-lastFault-evacuationDuration; at += time.Duration(r.Int64N(int64(2 * meanCentreGap))) {
		e := Event{At: at, For: evacuationDuration, Fault: FaultEvacuation, VM: r.IntN(centres)}
		if r.IntN(2) == 0 {
			e.Fault, e.For = FaultColdReturn, darkDuration
		}
		all = append(all, e)
	}
	return all
}

// evacuate evacuates the data centre of v for the time of an event. Its targets are cold when
// it is taken back.
func (f *fleet) evacuate(v *vm, e Event) (began time.Time) {
	f.centresMu.Lock()
	defer f.centresMu.Unlock()
	f.store.Evacuate(v.config.DataCentre)
	began = time.Now()
	<-time.After(e.For)
	for _, other := range f.inCentre(v) {
		other.targetMu.Lock()
		other.running.BecomeCold()
		other.targetMu.Unlock()
	}
	f.store.TakeBack(v.config.DataCentre)
	return began
}

// returnCold stops the targets of the data centre of v for the time of an event. They run
// again under their IDs, cold.
func (f *fleet) returnCold(v *vm, e Event) (failed string) {
	f.centresMu.Lock()
	defer f.centresMu.Unlock()
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, other := range f.inCentre(v) {
		wg.Go(func() {
			err := injectFault(other.targetRelay, ffrelay.Fault{Kind: ffrelay.FaultCut}, e.For)
			f.startAgain(other)
			mu.Lock()
			defer mu.Unlock()
			failed += err
		})
	}
	wg.Wait()
	return failed
}

// startAgain makes the target of a VM a later run with the same ID, which is cold.
func (f *fleet) startAgain(v *vm) {
	f.mu.Lock()
	f.started++
	startNumber := int64(f.started)
	f.mu.Unlock()
	v.targetMu.Lock()
	defer v.targetMu.Unlock()
	v.running.BecomeCold()
	v.entry.Born, v.entry.Sequence = startNumber, 0
	v.entry.ColdRemainingS = v.running.ColdFor().Seconds()
	f.store.PutEntry(v.entry)
}

// inCentre returns the VMs of the data centre of v.
func (f *fleet) inCentre(v *vm) []*vm {
	var all []*vm
	for _, other := range f.vms {
		if other.config.DataCentre == v.config.DataCentre {
			all = append(all, other)
		}
	}
	return all
}

// checkOverruns checks that no target got more requests while it was cold than it takes.
func (c *checker) checkOverruns() {
	for id, t := range c.rec.Targets {
		if t.Overrun > 0 {
			c.report(PromiseCold, "%s got %d requests too many in a second while it was cold", id, t.Overrun)
		}
	}
}

// checkEvacuation checks that the targets of an evacuated data centre get no requests after
// the limit.
func (c *checker) checkEvacuation(h ExecutedEvent) {
	for id, runs := range c.rec.Runs {
		for _, r := range runs {
			t := c.rec.Targets[r.Target]
			inside := t.VM%centres == h.VM%centres
			if inside && r.At.After(h.Began.Add(evacuationLimit)) && r.At.Before(h.Began.Add(h.For)) {
				c.report(PromiseEvacuated, "%s was executed by %s %v after its data centre was evacuated", id, r.Target, r.At.Sub(h.Began))
			}
		}
	}
}
