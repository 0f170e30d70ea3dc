package ffinbound

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"fireflyfall.dev/fireflyfall/internal/fffleet"
	"fireflyfall.dev/fireflyfall/internal/ffhop"
	"fireflyfall.dev/fireflyfall/internal/ffmesh"
)

// defaultSlots is assumed for a target that does not tell its slots.
const defaultSlots = 4

// Local tells which target is believed to run beside the daemon.
type Local interface {
	// Local returns the target, and false when none is known.
	Local() (fffleet.Target, bool)
}

// Gate stands before the one target beside the daemon.
type Gate struct {
	Target  Local
	Dialect ffmesh.Dialect
	Pool    *ffhop.Pool
	// Intake orders the long bodies that come from other VMs.
	Intake *Intake
	Log    zerolog.Logger

	mu      sync.Mutex
	id      string
	slots   int
	running int
	queue   queue
	times   times
	closed  bool
}

// Do implements ffmesh.Gate.
func (g *Gate) Do(ctx context.Context, c *ffmesh.Call) *ffmesh.Reply {
	target, refusal := g.admit(c)
	if refusal != nil {
		return g.refused(c, refusal)
	}
	w, refusal := g.enter(c)
	if refusal != nil {
		return g.refused(c, refusal)
	}
	if refusal := g.wait(ctx, w); refusal != nil {
		return g.refused(c, refusal)
	}
	started := time.Now()
	reply := g.send(ctx, c, target)
	if reply.Stream != nil {
		reply.Stream = &held{ReadCloser: reply.Stream, release: func() { g.leave(c, reply, started) }}
		return g.seal(reply)
	}
	g.leave(c, reply, started)
	return g.seal(reply)
}

func (g *Gate) seal(r *ffmesh.Reply) *ffmesh.Reply {
	r.Load = g.Load()
	return r
}

// refused logs a refusal with what decided it, and returns its reply.
func (g *Gate) refused(c *ffmesh.Call, r *ffmesh.Reply) *ffmesh.Reply {
	g.seal(r)
	now := time.Now()
	g.Log.Info().Str("request", c.ID).Stringer("reason", r.Reason).Str("target", r.Load.Target).
		Int("running", r.Load.Running).Int("queued", r.Load.Queued).Int("slots", r.Load.Slots).
		Dur("typical", r.Load.Typical).Dur("wait", r.RetryIn).Dur("objectiveIn", c.Objective.Sub(now)).
		Dur("deadlineIn", c.Deadline.Sub(now)).Msg("gate refused")
	return r
}
