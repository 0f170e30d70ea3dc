package ffinbound

import (
	"context"
	"sync"
	"time"

	"fireflyfall.dev/fireflyfall/internal/ffmesh"
)

const (
	// linkRatePerBody is the link rate, in bytes per second, needed for each body that
	// is received concurrently; minConcurrentBodies is the number received over a slow
	// link.
	linkRatePerBody     = 2_500_000
	minConcurrentBodies = 1
	// keepAliveInterval is the interval of keep-alive messages to an entry whose body
	// has to wait.
	keepAliveInterval = 50 * time.Millisecond
)

// Intake schedules the long bodies received over this VM's link, so that those of many
// entries do not saturate it and delay short calls. The zero value has no rate and
// admits every body at once.
type Intake struct {
	// Rate is the capacity of the link in bytes per second; 0 if it is not known.
	Rate int64

	mu        sync.Mutex
	receiving int
	// backlog is the transfer time of the bodies that are being received or waiting.
	backlog time.Duration
	queue   queue
}

// transferTime returns how long the body of c takes on the link; 0 for a short body,
// or if the rate is not known.
func (i *Intake) transferTime(c *ffmesh.Call) time.Duration {
	if i.Rate <= 0 || !c.HasLongBody() {
		return 0
	}
	return time.Duration(float64(c.BodyLength()) / float64(i.Rate) * float64(time.Second))
}

func (i *Intake) maxConcurrent() int { return max(minConcurrentBodies, int(i.Rate/linkRatePerBody)) }

// Backlog returns the transfer time of the bodies that are being received or waiting.
func (i *Intake) Backlog() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.backlog
}

// acquire waits until the body of c may be sent, and calls keepAlive at once and then
// regularly while it waits. The caller calls release once the body was received or
// abandoned; ok is false if the body would come too late or ctx is done.
func (i *Intake) acquire(ctx context.Context, c *ffmesh.Call, expected time.Duration, keepAlive func()) (release func(), ok bool) {
	transfer := i.transferTime(c)
	if transfer == 0 {
		return func() {}, true
	}
	w := &waiter{
		priority: c.Priority, objective: c.Objective, deadline: c.Deadline,
		expected: transfer + expected, granted: make(chan bool, 1),
	}
	i.enqueue(w, transfer)
	if !i.wait(ctx, w, keepAlive) {
		i.abandon(w, transfer)
		return nil, false
	}
	return sync.OnceFunc(func() { i.release(transfer) }), true
}

func (i *Intake) enqueue(w *waiter, transfer time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.backlog += transfer
	i.queue.push(w)
	i.dispatch(time.Now())
}

// dispatch admits waiting bodies, and refuses those that would come too late. The
// caller holds the lock.
func (i *Intake) dispatch(now time.Time) {
	for i.receiving < i.maxConcurrent() {
		w := i.queue.pop(now)
		if w == nil {
			return
		}
		if w.missesDeadline(now) {
			w.granted <- false
			continue
		}
		i.receiving++
		w.granted <- true
	}
}

func (i *Intake) wait(ctx context.Context, w *waiter, keepAlive func()) bool {
	select {
	case ok := <-w.granted:
		return ok
	default:
	}
	keepAlive()
	ticker := time.NewTicker(keepAliveInterval)
	defer ticker.Stop()
	for {
		select {
		case ok := <-w.granted:
			return ok
		case <-ctx.Done():
			return false
		case now := <-ticker.C:
			if w.missesDeadline(now) {
				return false
			}
			keepAlive()
		}
	}
}

// abandon removes a body that was refused, or that gave up waiting before or just
// after it was admitted.
func (i *Intake) abandon(w *waiter, transfer time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.backlog -= transfer
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

func (i *Intake) release(transfer time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.backlog -= transfer
	i.receiving--
	i.dispatch(time.Now())
}
