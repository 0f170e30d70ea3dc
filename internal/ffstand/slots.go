package ffstand

import "context"

// slots limits the calls that run and the calls that wait at a target.
type slots struct {
	running  chan struct{}
	admitted chan struct{}
}

func newSlots(running, backlog int) slots {
	return slots{
		running:  make(chan struct{}, running),
		admitted: make(chan struct{}, running+backlog),
	}
}

// admit takes a place among the running and waiting calls, or returns false when
// all are taken.
func (s slots) admit() bool {
	select {
	case s.admitted <- struct{}{}:
		return true
	default:
		return false
	}
}

// leave returns the place taken by admit.
func (s slots) leave() { <-s.admitted }

// acquire waits for a free slot, or returns false when ctx is done first.
func (s slots) acquire(ctx context.Context) bool {
	select {
	case s.running <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	if ctx.Err() != nil {
		s.release()
		return false
	}
	return true
}

// release returns the slot taken by acquire.
func (s slots) release() { <-s.running }
