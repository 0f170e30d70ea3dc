package ffinbound

import (
	"context"
	"sync"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffmesh"
)

const (
	// intakeEach is the rate of the link, in bytes a second, for each body that is
	// received at once; leastIntake is how many are received over a slow link.
	intakeEach  = 2_500_000
	leastIntake = 1
	// aliveEvery is the interval of words to an entry whose body has to wait.
	aliveEvery = 50 * time.Millisecond
)

// Intake orders the long bodies that come over this VM's link, so that those of
// many entries do not fill it at once and keep short calls waiting. The zero value
// knows no rate and lets every body in.
type Intake struct {
	// Rate is what the link carries, in bytes a second; 0 when it is not known.
	Rate int64

	mu        sync.Mutex
	receiving int
	// ahead is the time that the bodies being received and waiting take on the link.
	ahead time.Duration
	queue queue
}

// transfer returns the time that the body of c takes on the link.
func (i *Intake) transfer(c *ffmesh.Call) time.Duration {
	if i.Rate <= 0 || !c.Long() {
		return 0
	}
	return time.Duration(float64(c.BodyLength()) / float64(i.Rate) * float64(time.Second))
}

func (i *Intake) most() int { return max(leastIntake, int(i.Rate/intakeEach)) }

// Ahead returns how long the bodies that are being received or wait will take.
func (i *Intake) Ahead() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.ahead
}

// enter waits until the body of c may come, and calls alive at once and then
// regularly while it waits. The caller calls leave when the body is in or was
// given up; ok is false when it would come too late.
func (i *Intake) enter(ctx context.Context, c *ffmesh.Call, expected time.Duration, alive func()) (leave func(), ok bool) {
	took := i.transfer(c)
	if took == 0 {
		return func() {}, true
	}
	w := &waiter{
		priority: c.Priority, objective: c.Objective, deadline: c.Deadline,
		expected: took + expected, granted: make(chan bool, 1),
	}
	i.push(w, took)
	if !i.wait(ctx, w, alive) {
		i.give(w, took)
		return nil, false
	}
	return sync.OnceFunc(func() { i.end(took) }), true
}

func (i *Intake) push(w *waiter, took time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.ahead += took
	i.queue.push(w)
	i.dispatch(time.Now())
}

// dispatch lets waiting bodies in. The caller holds the lock.
func (i *Intake) dispatch(now time.Time) {
	for i.receiving < i.most() {
		w := i.queue.pop(now)
		if w == nil {
			return
		}
		if w.hopeless(now) {
			w.granted <- false
			continue
		}
		i.receiving++
		w.granted <- true
	}
}

func (i *Intake) wait(ctx context.Context, w *waiter, alive func()) bool {
	select {
	case ok := <-w.granted:
		return ok
	default:
	}
	alive()
	ticker := time.NewTicker(aliveEvery)
	defer ticker.Stop()
	for {
		select {
		case ok := <-w.granted:
			return ok
		case <-ctx.Done():
			return false
		case now := <-ticker.C:
			if w.hopeless(now) {
				return false
			}
			alive()
		}
	}
}

// give takes back a body that was not let in, or was too late to use it.
func (i *Intake) give(w *waiter, took time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.ahead -= took
	if i.queue.remove(w) {
		return
	}
	select {
	case ok := <-w.granted:
		if ok {
			i.receiving--
			i.dispatch(time.Now())
		}
	default:
	}
}

func (i *Intake) end(took time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.ahead -= took
	i.receiving--
	i.dispatch(time.Now())
}
