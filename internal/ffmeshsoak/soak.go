package ffmeshsoak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffrelay"
)

const (
	// lengthStreams is the first of the random streams that decide the lengths.
	lengthStreams = 1 << 32
	// clientsPerVM is the number of clients per VM.
	clientsPerVM = 3
	// stopTimeout limits a planned stop.
	stopTimeout = 7 * time.Second
	// dumpTimeout limits the time in which a daemon writes its goroutine stacks and exits.
	dumpTimeout = 2 * time.Second
	// startTimeout limits the start of all daemons.
	startTimeout = 20 * time.Second
	// loadAfterRecovery is how long the load continues after the time for recovery.
	loadAfterRecovery = 2 * time.Second
	// settleTime is how long executions at targets are recorded after the last request.
	settleTime = time.Second
	// leaveDuration is how long a target keeps running after it announced that it leaves.
	leaveDuration = 2500 * time.Millisecond
	// storeDelay is the added delay in each direction of a slow store.
	storeDelay = 200 * time.Millisecond
)

// Options configures a soak. For is its minimum length: it continues until the last
// fault has ended and the mesh had time to recover.
type Options struct {
	// Program is the path of the daemon's binary; settings files are written to Directory.
	Program, Directory string
	Seed               uint64
	MinDuration        time.Duration
	VMs                int
	// TargetFaults adds faults of the answers of targets, and CentreFaults data centres that
	// are evacuated or come back cold.
	TargetFaults, CentreFaults bool
}

// Run soaks a mesh and returns the record. If ctx ends early, it returns an error and no
// record, because an incomplete record proves nothing.
func Run(ctx context.Context, o Options) (*Record, error) {
	f, err := newFleet(o.Program, o.Directory, o.VMs, o.CentreFaults)
	if err != nil {
		return nil, err
	}
	defer f.close()
	if err := f.startAll(ctx); err != nil {
		return nil, err
	}
	out := &recorder{}
	out.rec.Seed, out.rec.Started = o.Seed, time.Now()
	running, cancel := context.WithCancel(ctx)
	defer cancel()
	var background sync.WaitGroup
	background.Go(func() { f.runHeartbeats(running) })
	for i := range o.VMs * clientsPerVM {
		c := &client{name: fmt.Sprint("c", i), vm: i % o.VMs, address: f.vms[i%o.VMs].config.Callers, f: f, recorder: out, rand: rand.New(rand.NewPCG(o.Seed, uint64(i)+2)), lengths: rand.New(rand.NewPCG(o.Seed, uint64(i)+lengthStreams))}
		background.Go(func() { c.run(running) })
	}
	f.runEvents(running, o.events(), out)
	out.rec.Faulty = time.Now()
	select {
	case <-time.After(max(time.Until(out.rec.Started.Add(o.MinDuration)), recoveryLimit+loadAfterRecovery)):
	case <-ctx.Done():
	}
	cancel()
	background.Wait()
	if err := ctx.Err(); err != nil {
		return nil, &Error{Op: "soak", Kind: KindCancelled, Err: err}
	}
	<-time.After(settleTime)
	out.rec.Ended = time.Now()
	out.rec.Runs, out.rec.Targets = f.runs(), f.targetRecords()
	out.rec.Logs = f.logs()
	return &out.rec, nil
}

// events returns the events of the soak, sorted by time.
func (o Options) events() []Event {
	all := GenerateEvents(o.Seed, o.MinDuration, o.VMs)
	if o.TargetFaults {
		all = append(all, GenerateTargetEvents(o.Seed, o.MinDuration, o.VMs)...)
	}
	if o.CentreFaults {
		all = append(all, GenerateCentreEvents(o.Seed, o.MinDuration)...)
	}
	slices.SortStableFunc(all, func(a, b Event) int { return int(a.At - b.At) })
	return all
}

// startAll starts all daemons and waits until they are ready.
func (f *fleet) startAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	var wg sync.WaitGroup
	errs := make([]error, len(f.vms))
	for i, v := range f.vms {
		wg.Go(func() { errs[i] = f.start(ctx, v, true) })
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// runEvents executes each event at its time and waits until all have ended. If ctx ends
// before the last event has started, it returns without waiting.
func (f *fleet) runEvents(ctx context.Context, events []Event, out *recorder) {
	started := time.Now()
	var wg sync.WaitGroup
	for _, e := range events {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(started.Add(e.At))):
		}
		wg.Go(func() { f.runEvent(ctx, e, out) })
	}
	wg.Wait()
}

// runEvent executes one event and records it.
func (f *fleet) runEvent(ctx context.Context, e Event, out *recorder) {
	h := ExecutedEvent{Event: e, Began: time.Now()}
	v := f.vms[e.VM]
	switch e.Fault {
	case FaultVersion:
		h.Version = f.publishVersion()
	case FaultLeave:
		h.Target = f.leaveTarget(v)
	case FaultStoreCut:
		h.Failed = injectFault(v.storeRelay, ffrelay.Fault{Kind: ffrelay.FaultCut}, e.For)
	case FaultStoreSilent:
		h.Failed = injectFault(v.storeRelay, ffrelay.Fault{Kind: ffrelay.FaultSilent, Direction: ffrelay.DirectionDownstream}, e.For)
	case FaultStoreDelay:
		h.Failed = injectFault(v.storeRelay, ffrelay.Fault{Kind: ffrelay.FaultDelay, Delay: storeDelay}, e.For)
	case FaultTargetReset:
		h.Failed = injectFault(v.targetRelay, ffrelay.Fault{Kind: ffrelay.FaultCut}, e.For/8)
	case FaultTargetSilent:
		h.Failed = injectFault(v.targetRelay, ffrelay.Fault{Kind: ffrelay.FaultSilentOpen}, e.For/8)
	case FaultTargetLimit, FaultTargetSaysLeaving, FaultTargetGarbles, FaultTargetRepeatsRefusals:
		h.Began, h.Target = f.disruptTarget(v, e)
	case FaultEvacuation:
		h.Began = f.evacuate(v, e)
	case FaultColdReturn:
		h.Failed = f.returnCold(v, e)
	default:
		h.Began, h.Failed = f.disruptDaemon(ctx, v, e)
	}
	h.Ended = time.Now()
	out.addHappening(h)
}

// injectFault sets a fault of a relay for d and returns the error text, if any.
func injectFault(r *ffrelay.Relay, fault ffrelay.Fault, d time.Duration) (failed string) {
	if err := r.SetFault(fault); err != nil {
		return err.Error()
	}
	<-time.After(d)
	if err := r.SetFault(ffrelay.Fault{}); err != nil {
		return err.Error()
	}
	return ""
}

// leaveTarget marks the target of a VM as leaving, replaces it after leaveDuration and
// returns its ID.
func (f *fleet) leaveTarget(v *vm) (id string) {
	v.targetMu.Lock()
	left := v.entry
	v.entry.State = "draining"
	v.entry.Sequence++
	f.store.PutEntry(v.entry)
	v.targetMu.Unlock()
	<-time.After(leaveDuration)
	f.replaceTarget(v)
	f.store.DeleteEntry(left.ID)
	return left.ID
}

// disruptDaemon executes an event on the process of a daemon, one at a time per VM. It
// returns when the event began and its error text, if any.
func (f *fleet) disruptDaemon(ctx context.Context, v *vm, e Event) (began time.Time, failed string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	began = time.Now()
	var err error
	switch e.Fault {
	case FaultHangup:
		err = v.process.Hangup()
	case FaultFreeze:
		if err = v.process.Freeze(); err == nil {
			<-time.After(e.For)
			err = v.process.Resume()
		}
	case FaultKill:
		if err = v.process.Kill(); err == nil {
			<-time.After(e.For / 4)
			err = f.start(ctx, v, true)
		}
	case FaultStop:
		err = f.restart(ctx, v)
	}
	if err != nil {
		return began, err.Error()
	}
	return began, ""
}

// restart stops a daemon gracefully and starts it again.
func (f *fleet) restart(ctx context.Context, v *vm) error {
	stopCtx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	err := v.process.Stop(stopCtx)
	if err != nil {
		err = errors.Join(err, f.dumpAndKill(ctx, v))
	}
	return errors.Join(err, f.start(ctx, v, true))
}

// dumpAndKill ends a daemon that did not stop in time and keeps its log lines with the
// goroutine stacks.
func (f *fleet) dumpAndKill(ctx context.Context, v *vm) error {
	ctx, cancel := context.WithTimeout(ctx, dumpTimeout)
	defer cancel()
	dumped := v.process.DumpStacks(ctx)
	f.mu.Lock()
	for _, l := range v.process.Lines() {
		f.lateLogs = append(f.lateLogs, string(l))
	}
	f.mu.Unlock()
	if dumped == nil {
		return nil
	}
	return errors.Join(dumped, v.process.Kill())
}
