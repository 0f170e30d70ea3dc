package ffmeshsoak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffrelay"
)

const (
	// clientsEach is the number of clients of each VM.
	clientsEach = 3
	// stopWithin is the time that a planned stop may take.
	stopWithin = 7 * time.Second
	// dumpWithin is how long a daemon may take to write its stacks.
	dumpWithin = 2 * time.Second
	// startWithin bounds the start of a fleet.
	startWithin = 20 * time.Second
	// calmTail is how long requests go on after the time to recover.
	calmTail = 2 * time.Second
	// lateTail is how long targets are watched after the last request.
	lateTail = time.Second
	// leaveFor is how long a target goes on after it said that it leaves.
	leaveFor = 2500 * time.Millisecond
	// storeDelay is what a slow store adds to each byte's way.
	storeDelay = 200 * time.Millisecond
)

// Options says what to soak. For is the least length; it goes on until the last
// fault is over and the mesh had time to recover.
type Options struct {
	// Program is the path of the daemon's binary, and Directory where files go.
	Program, Directory string
	Seed               uint64
	For                time.Duration
	VMs                int
}

// Run soaks a mesh and returns everything that was seen. A soak that is ended early
// shows nothing and is an error.
func Run(ctx context.Context, o Options) (*Record, error) {
	f, err := newFleet(o.Program, o.Directory, o.VMs)
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
	background.Go(func() { f.runBeats(running) })
	for i := range o.VMs * clientsEach {
		c := &client{name: fmt.Sprint("c", i), vm: i % o.VMs, at: f.vms[i%o.VMs].place.Callers, f: f, out: out, rand: rand.New(rand.NewPCG(o.Seed, uint64(i)+2))}
		background.Go(func() { c.run(running) })
	}
	f.harm(running, Draw(o.Seed, o.For, o.VMs), out)
	out.rec.Faulty = time.Now()
	select {
	case <-time.After(max(time.Until(out.rec.Started.Add(o.For)), recoverWithin+calmTail)):
	case <-ctx.Done():
	}
	cancel()
	background.Wait()
	if err := ctx.Err(); err != nil {
		return nil, &Error{Op: "soak", Kind: KindEnded, Err: err}
	}
	<-time.After(lateTail)
	out.rec.Ended = time.Now()
	out.rec.Runs = f.runs()
	out.rec.Logs = f.logs()
	return &out.rec, nil
}

func (f *fleet) startAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startWithin)
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

// harm carries the events out, each at its time, and waits until all are over.
func (f *fleet) harm(ctx context.Context, events []Event, out *recorder) {
	started := time.Now()
	var wg sync.WaitGroup
	for _, e := range events {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(started.Add(e.At))):
		}
		wg.Go(func() { f.event(ctx, e, out) })
	}
	wg.Wait()
}

// event carries one event out and records it.
func (f *fleet) event(ctx context.Context, e Event, out *recorder) {
	h := Happening{Event: e, Began: time.Now()}
	v := f.vms[e.VM]
	switch e.Fault {
	case FaultVersion:
		h.Version = f.publish()
	case FaultLeave:
		h.Target = f.leave(v)
	case FaultStoreCut:
		h.Failed = hold(v.store, ffrelay.Fault{Kind: ffrelay.FaultCut}, e.For)
	case FaultStoreSilent:
		h.Failed = hold(v.store, ffrelay.Fault{Kind: ffrelay.FaultSilent, Direction: ffrelay.DirectionClient}, e.For)
	case FaultStoreDelay:
		h.Failed = hold(v.store, ffrelay.Fault{Kind: ffrelay.FaultDelay, Delay: storeDelay}, e.For)
	case FaultTargetReset:
		h.Failed = hold(v.target, ffrelay.Fault{Kind: ffrelay.FaultCut}, e.For/8)
	case FaultTargetHush:
		h.Failed = hold(v.target, ffrelay.Fault{Kind: ffrelay.FaultSilentOpen}, e.For/8)
	default:
		h.Began, h.Failed = f.process(ctx, v, e)
	}
	h.Ended = time.Now()
	out.happening(h)
}

// hold keeps a fault on a link for a while.
func hold(r *ffrelay.Relay, fault ffrelay.Fault, d time.Duration) (failed string) {
	if err := r.SetFault(fault); err != nil {
		return err.Error()
	}
	<-time.After(d)
	if err := r.SetFault(ffrelay.Fault{}); err != nil {
		return err.Error()
	}
	return ""
}

// leave lets the target of a VM leave and another take its place.
func (f *fleet) leave(v *vm) (id string) {
	v.beating.Lock()
	left := v.entry
	v.entry.State = "draining"
	v.entry.Sequence++
	f.store.PutEntry(v.entry)
	v.beating.Unlock()
	<-time.After(leaveFor)
	f.replace(v)
	f.store.DeleteEntry(left.ID)
	return left.ID
}

// process harms the process of a daemon, one harm after the other, and returns
// when it began and what went wrong.
func (f *fleet) process(ctx context.Context, v *vm, e Event) (began time.Time, failed string) {
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
			err = v.process.Wake()
		}
	case FaultKill:
		if err = v.process.Kill(); err == nil {
			<-time.After(e.For / 4)
			err = f.start(ctx, v, true)
		}
	case FaultStop:
		err = f.stop(ctx, v)
	}
	if err != nil {
		return began, err.Error()
	}
	return began, ""
}

// stop ends a daemon as planned and starts it again.
func (f *fleet) stop(ctx context.Context, v *vm) error {
	ended, cancel := context.WithTimeout(ctx, stopWithin)
	defer cancel()
	late := v.process.Stop(ended)
	if late != nil {
		late = errors.Join(late, f.endLate(ctx, v))
	}
	return errors.Join(late, f.start(ctx, v, true))
}

// endLate ends a daemon that did not end in time, and keeps the stacks that it was in.
func (f *fleet) endLate(ctx context.Context, v *vm) error {
	ctx, cancel := context.WithTimeout(ctx, dumpWithin)
	defer cancel()
	dumped := v.process.Dump(ctx)
	f.mu.Lock()
	for _, l := range v.process.Lines() {
		f.late = append(f.late, string(l))
	}
	f.mu.Unlock()
	if dumped == nil {
		return nil
	}
	return errors.Join(dumped, v.process.Kill())
}
