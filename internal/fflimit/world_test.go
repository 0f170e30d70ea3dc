package fflimit

import (
	"fmt"
	"math/rand/v2"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

const step = 25 * time.Millisecond

// daemon is one daemon with a clock of its own.
type daemon struct {
	vm          ffmember.VM
	limiter     *Limiter
	offset      time.Duration
	speed       float64
	starts      int
	pausedUntil time.Duration
	waiting     map[*account]int
	release     []held
	arrivals    float64
	refused     int
}

// held is a permit until its call ends.
type held struct {
	permit Permit
	until  time.Duration
}

// packet is an ask or an answer on its way.
type packet struct {
	at       time.Duration
	from, to string
	starts   int
	deliver  func()
}

// faults are the odds and sizes of what goes wrong.
type faults struct {
	loss, duplicate float64
	delay           time.Duration
	// cut reports whether a message from one daemon to another is lost.
	cut func(from, to *daemon, now time.Duration) bool
}

// world runs limiters in virtual time.
type world struct {
	contract *ffconfig.Contract
	daemons  []*daemon
	byName   map[string]*daemon
	vms      []ffmember.VM
	faults   faults
	rand     *rand.Rand
	now      time.Duration
	wire     []packet
	// callTime is the time for which a call is in flight.
	callTime time.Duration
	// giveUp is the time after which an asker gives up.
	giveUp   time.Duration
	admitted []time.Duration
	check    func()
}

func newWorld(c *ffconfig.Contract, centres, daemons int, seed uint64) *world {
	w := &world{contract: c, byName: map[string]*daemon{}, rand: rand.New(rand.NewPCG(seed, 594)), callTime: 50 * time.Millisecond, giveUp: askTimeout}
	for i := range centres * daemons {
		vm := ffmember.VM{Name: fmt.Sprintf("vm-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%centres)}
		d := &daemon{vm: vm, speed: 1}
		w.vms = append(w.vms, vm)
		w.daemons = append(w.daemons, d)
		w.byName[vm.Name] = d
	}
	return w
}

// boot starts a daemon anew, with nothing in memory.
func (w *world) boot(d *daemon) {
	d.starts++
	d.limiter = &Limiter{Holder: fmt.Sprintf("%s#%d", d.vm.Name, d.starts)}
	d.limiter.makeQueues()
	d.limiter.once.Do(func() {})
	d.waiting = map[*account]int{}
	d.release = nil
	d.limiter.SetFleet(NewFleet(d.vm.Name, d.vm.DataCentre, w.vms, w.vms), w.clock(d))
}

// clock returns the time on a daemon's own clock.
func (w *world) clock(d *daemon) time.Time {
	epoch := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	return epoch.Add(d.offset + time.Duration(float64(w.now)*d.speed))
}

// run lets a time pass, with a rate of calls a second at each daemon.
func (w *world) run(duration time.Duration, rate func(i int) float64) {
	for end := w.now + duration; w.now < end; w.now += step {
		w.deliver()
		for i, d := range w.daemons {
			if w.now < d.pausedUntil {
				continue
			}
			w.finish(d)
			d.arrivals += rate(i) * step.Seconds()
			for ; d.arrivals >= 1; d.arrivals-- {
				w.call(d)
			}
			w.send(d)
		}
		if w.check != nil {
			w.check()
		}
	}
}

func (w *world) call(d *daemon) {
	permit, err := d.limiter.Admit(w.contract, w.clock(d))
	a := d.limiter.accountOf(w.contract.Customer)
	switch {
	case err == nil:
		w.admit(d, permit)
	case a.asking && !a.exhausted:
		d.waiting[a]++
	default:
		d.refused++
	}
}

func (w *world) admit(d *daemon, p Permit) {
	w.admitted = append(w.admitted, w.now)
	d.release = append(d.release, held{permit: p, until: w.now + w.callTime})
}

func (w *world) finish(d *daemon) {
	for len(d.release) > 0 && d.release[0].until <= w.now {
		d.release[0].permit.Release()
		d.release = d.release[1:]
	}
}

// send puts the asks and loans that are due on the wire.
func (w *world) send(d *daemon) {
	for _, queue := range d.limiter.queues {
		for len(queue) > 0 {
			w.ask(d, <-queue)
		}
	}
	if w.now%tradeTick != 0 {
		return
	}
	for _, loan := range d.limiter.allocator.loans(d.limiter.Holder, w.clock(d)) {
		l := d.limiter
		w.exchange(d, loan.VM, loan.Ask, func(r *Answer) { l.allocator.settle(loan.Cell, loan.Ask, r, w.clock(d)) })
	}
}

func (w *world) ask(d *daemon, a *account) {
	q := a.lockedAsk(d.limiter.Holder, w.clock(d))
	w.exchange(d, a.allocator, q, func(r *Answer) {
		if r == nil {
			if a.asking && a.seq == q.Seq {
				a.fail(w.clock(d))
			}
		} else {
			a.lockedAccept(q, *r, w.clock(d))
		}
		w.wake(d, a)
	})
}

// wake lets the calls try again that waited for an answer.
func (w *world) wake(d *daemon, a *account) {
	for ; d.waiting[a] > 0; d.waiting[a]-- {
		if permit, err := d.limiter.pass(a, w.clock(d)); err == nil {
			w.admit(d, permit)
		} else {
			d.refused++
		}
	}
}

// exchange carries an ask there and the answer back, each subject to faults; at
// last the asker gives up.
func (w *world) exchange(from *daemon, vm ffmember.VM, q Ask, done func(*Answer)) {
	to := w.byName[vm.Name]
	w.carry(from, to, to.starts, func() {
		r := to.limiter.Answer(w.contract, q, w.clock(to))
		w.carry(to, from, from.starts, func() { done(&r) })
	})
	w.wire = append(w.wire, packet{at: w.now + w.giveUp, to: from.vm.Name, starts: from.starts, deliver: func() { done(nil) }})
}

func (w *world) carry(from, to *daemon, starts int, deliver func()) {
	copies := 1
	if w.rand.Float64() < w.faults.duplicate {
		copies = 2
	}
	for range copies {
		if w.rand.Float64() < w.faults.loss || w.faults.cut != nil && w.faults.cut(from, to, w.now) {
			continue
		}
		delay := 2 * time.Millisecond
		if w.faults.delay > 0 {
			delay += time.Duration(w.rand.Int64N(int64(w.faults.delay)))
		}
		w.wire = append(w.wire, packet{at: w.now + delay, to: to.vm.Name, starts: starts, deliver: deliver})
	}
}

// deliver hands over what has arrived; what was sent to an earlier start is lost.
func (w *world) deliver() {
	arrived := w.wire
	w.rand.Shuffle(len(arrived), func(i, j int) { arrived[i], arrived[j] = arrived[j], arrived[i] })
	w.wire = nil
	for _, p := range arrived {
		to := w.byName[p.to]
		switch {
		case p.at > w.now || w.now < to.pausedUntil:
			w.wire = append(w.wire, p)
		case p.starts == to.starts:
			p.deliver()
		}
	}
}
