package ffstand

import "context"

// slots bounds the calls that run and that wait at a target.
type slots struct {
	running chan struct{}
	present chan struct{}
}

func newSlots(running, backlog int) slots {
	return slots{
		running: make(chan struct{}, running),
		present: make(chan struct{}, running+backlog),
	}
}

// enter reports whether there is room for one more call.
func (s slots) enter() bool {
	select {
	case s.present <- struct{}{}:
		return true
	default:
		return false
	}
}

// leave gives back what enter took.
func (s slots) leave() { <-s.present }

// acquire waits for a free slot and reports false when ctx is done first.
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

// release gives back what acquire took.
func (s slots) release() { <-s.running }
