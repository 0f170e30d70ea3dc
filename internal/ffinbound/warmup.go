package ffinbound

import (
	"context"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
	"fireflyfall.dev/fireflyfall/internal/ffhop"
	"fireflyfall.dev/fireflyfall/internal/ffmesh"
)

const (
	// askTimeout bounds a question to the target how long it stays cold, which may wait for
	// a slot there.
	askTimeout = 500 * time.Millisecond
	// askInterval is the time between two questions while the target does not answer.
	askInterval = 250 * time.Millisecond
)

// Refresh applies what is listed about the target: calls that wait for one that accepts no
// more are refused at once.
func (g *Gate) Refresh() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	target, ok := g.Target.LocalTarget()
	if evacuated := g.Target.Evacuated(); evacuated != g.evacuated {
		g.evacuated = evacuated
		g.doubtWarmth("evacuation", now)
	}
	if ok && target.State != fffleet.StateDraining {
		g.updateTarget(target, now)
	}
	g.dispatch(now)
}

// updateColdness compares the last entry of a run with the current one. The caller holds
// the lock.
func (g *Gate) updateColdness(last, current fffleet.Target, now time.Time) {
	if current.Cold && !last.Cold {
		g.doubtWarmth("listed as cold", now)
	}
}

// connectionFailed records that the target could not be reached: it may have stopped, and
// is cold when it is back.
func (g *Gate) connectionFailed(ctx context.Context, reason ffmesh.Reason) {
	if reason != ffmesh.ReasonConnect || ctx.Err() != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.doubtWarmth("unreachable", time.Now())
}

// doubtWarmth paces the target as a cold one until it says that it is not, or until it
// must be warm. The caller holds the lock.
func (g *Gate) doubtWarmth(why string, now time.Time) {
	cold := g.warmup.Cold(now)
	g.warmup = g.warmup.WithDoubt(now)
	if !cold && g.warmup.Cold(now) {
		g.Log.Info().Str("target", g.target.ID).Str("why", why).Float64("limit", g.warmup.Rate(now)).Msg("target taken for cold")
	}
}

// updateWarmup records for how long the target stays cold according to its answer to a
// request of sentAt. The caller holds the lock.
func (g *Gate) updateWarmup(n ffmesh.Notice, sentAt time.Time) {
	if !n.Warming {
		return
	}
	now := time.Now()
	before := g.warmup
	g.warmup = g.warmup.WithReport(sentAt, now.Add(n.ColdFor), now)
	if before.Cold(now) != g.warmup.Cold(now) || before.Doubtful(now) && !g.warmup.Doubtful(now) {
		g.Log.Info().Str("target", g.target.ID).Dur("coldFor", n.ColdFor).Msg("target said how long it stays cold")
	}
	g.dispatch(now)
}

// askIfDoubtful asks the target in the background how long it stays cold, if calls come
// while that is not known. The caller holds the lock.
func (g *Gate) askIfDoubtful(now time.Time) {
	if g.asking || !g.warmup.Doubtful(now) || g.Target.HealthPath() == "" {
		return
	}
	g.asking = true
	go g.runQuestions(g.target)
}

// runQuestions asks the run t of the target until it answers or must be warm.
func (g *Gate) runQuestions(t fffleet.Target) {
	for g.stillDoubtful(t) {
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		err := g.ask(ctx, t)
		cancel()
		if err != nil {
			g.Log.Info().Err(err).Str("target", t.ID).Msg("target did not say whether it is cold")
			<-time.After(askInterval)
		}
	}
}

// stillDoubtful reports whether t is to be asked again, and otherwise lets later calls ask.
func (g *Gate) stillDoubtful(t fffleet.Target) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed || !g.target.SameRun(t) || !g.warmup.Doubtful(time.Now()) {
		g.asking = false
		return false
	}
	return true
}

// ask sends one health check to t and records what it says.
func (g *Gate) ask(ctx context.Context, t fffleet.Target) error {
	conn, err := g.Pool.Get(ctx, maxIdleIdempotent)
	if err != nil {
		return err
	}
	sentAt := time.Now()
	e, err := conn.Start(ctx, &ffhop.Request{Method: http.MethodGet, URI: g.Target.HealthPath(), Host: t.Address.String(), Header: http.Header{}})
	if err != nil {
		return err
	}
	resp, err := e.Receive()
	if err != nil {
		return err
	}
	n, err := g.Dialect.Notice(resp.Header)
	if err == nil && !n.Warming {
		err = merry.Errorf("status %d says nothing of it", resp.StatusCode)
	}
	if drainErr := e.Drain(resp); drainErr != nil {
		e.Abort()
	} else {
		g.finishExchange(e, resp)
	}
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.target.SameRun(t) {
		g.updateWarmup(n, sentAt)
	}
	return nil
}
