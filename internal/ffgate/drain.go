package ffgate

import "context"

// drain counts the calls that wait or run, and tells when the last one has ended.
type drain struct {
	active int
	// idle is nil until the drain starts and closed when nothing is active.
	idle chan struct{}
}

func (d *drain) started() bool { return d.idle != nil }

// start reports whether it was the first.
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

func (d *drain) ended() {
	d.active--
	if d.started() && d.active == 0 {
		close(d.idle)
	}
}

// Drain announces that the daemon leaves, refuses new calls as not run, and
// returns when every call that waits or runs has ended, or with the cause when
// the context ends first. Outcomes can still be asked for.
func (g *Gate) Drain(ctx context.Context) error {
	g.mu.Lock()
	first := g.drain.start()
	g.mu.Unlock()
	if first && g.Announce != nil {
		g.Announce()
	}
	select {
	case <-g.drain.idle:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
