package ffgate

import "context"

// drain counts the calls that wait or run and signals when the last one has ended.
type drain struct {
	active int
	// idle is nil until the drain starts, and is closed when no call is active.
	idle chan struct{}
}

func (d *drain) started() bool { return d.idle != nil }

// start starts the drain and returns false if it had been started before.
func (d *drain) start() bool {
	if d.started() {
		return false
	}
	d.idle = make(chan struct{})
	if d.active == 0 {
		close(d.idle)
	}
	return true
}

func (d *drain) callEnded() {
	d.active--
	if d.started() && d.active == 0 {
		close(d.idle)
	}
}

// Drain makes the gate refuse new calls as not run, calls OnDrain, and returns
// when every waiting or running call has ended, or with the context's cause if the
// context ends first. Outcomes remain available.
func (g *Gate) Drain(ctx context.Context) error {
	g.mu.Lock()
	first := g.drain.start()
	g.mu.Unlock()
	if first && g.OnDrain != nil {
		g.OnDrain()
	}
	select {
	case <-g.drain.idle:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
